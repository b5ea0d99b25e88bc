package org.whinhead.serving.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * Compares the configuration version in force with the newest one that other daemons have told of.
 *
 * <p>Versions are the operator's and only grow, so a higher one at another daemon shows that this
 * daemon is behind.
 */
public final class ConfigurationProgress {

    /** The version before any configuration is known. */
    public static final long NO_VERSION = -1;

    private long mVersion = NO_VERSION;
    private long mAnnouncedVersion = NO_VERSION;
    private Instant mInForceSince;
    private Instant mBehindSince;
    private Instant mReadAt;
    private Optional<String> mReadFailure = Optional.empty();
    private long mUnreadableCount;

    /**
     * Records that a version is in force here.
     *
     * @param version the version
     * @param now the current time
     */
    public void recordInForce(final long version, final Instant now) {
        mVersion = version;
        mInForceSince = Objects.requireNonNull(now, "now");
        if (!isBehind()) {
            mBehindSince = null;
        }
    }

    /**
     * Records that a version is in force at another daemon.
     *
     * @param version the version
     * @param now the current time
     */
    public void recordAnnounced(final long version, final Instant now) {
        mAnnouncedVersion = Math.max(mAnnouncedVersion, version);
        if (isBehind() && mBehindSince == null) {
            mBehindSince = Objects.requireNonNull(now, "now");
        }
    }

    /**
     * Records a successful read of the store, which may have found nothing new.
     *
     * @param now the current time
     */
    public void recordRead(final Instant now) {
        mReadAt = Objects.requireNonNull(now, "now");
        mReadFailure = Optional.empty();
    }

    /**
     * Records a read that the store did not answer or refused.
     *
     * @param cause the cause
     */
    public void recordReadFailure(final String cause) {
        mReadFailure = Optional.of(cause);
    }

    /** Records a version that can't be decoded, so that the one before it stays in force. */
    public void recordUnreadable() {
        mUnreadableCount++;
    }

    /**
     * Returns why the last read of the store failed.
     *
     * @return the cause; empty if the last read succeeded
     */
    public Optional<String> readFailure() {
        return mReadFailure;
    }

    /**
     * Returns the number of versions that could not be decoded.
     *
     * @return the number since the start of this daemon
     */
    public long unreadableCount() {
        return mUnreadableCount;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, or {@link #NO_VERSION}
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the newest version that is known to be in force anywhere.
     *
     * @return the version, or {@link #NO_VERSION}
     */
    public long newestVersion() {
        return Math.max(mVersion, mAnnouncedVersion);
    }

    /**
     * Returns whether another daemon has a newer version.
     *
     * @return whether this daemon's configuration is known to be old
     */
    public boolean isBehind() {
        return mAnnouncedVersion > mVersion;
    }

    /**
     * Returns for how long a newer version has been known of.
     *
     * @param now the current time
     * @return the time; zero if no newer version is known
     */
    public Duration behindFor(final Instant now) {
        return mBehindSince == null ? Duration.ZERO : Duration.between(mBehindSince, now);
    }

    /**
     * Returns the time since the version in force took effect.
     *
     * @param now the current time
     * @return the time; empty without a configuration
     */
    public Optional<Duration> inForceFor(final Instant now) {
        return Optional.ofNullable(mInForceSince).map(since -> Duration.between(since, now));
    }

    /**
     * Returns the time since this daemon itself last read the store.
     *
     * @param now the current time
     * @return the time; empty without a successful read
     */
    public Optional<Duration> sinceRead(final Instant now) {
        return Optional.ofNullable(mReadAt).map(readAt -> Duration.between(readAt, now));
    }
}
