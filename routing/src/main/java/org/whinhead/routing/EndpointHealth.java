package org.whinhead.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Whether one endpoint may get new work after failures: healthy, or suspect with one recovery probe
 * at a time after a cooldown.
 *
 * <p>Each dispatch takes a revision and hands it back with its outcome, so that an outcome can be
 * set in order against failures that were seen in between.
 */
public final class EndpointHealth {

    private static final int MAX_COOLDOWN_DOUBLINGS = 16;

    private final HealthSettings mSettings;
    private final RandomGenerator mRandom;
    private long mRevision;
    private long mSuspectRevision;
    private int mConsecutiveFailures;
    private int mCooldownDoublings;
    private boolean mSuspect;
    private Instant mBlockedUntil = Instant.MIN;

    /**
     * Starts healthy.
     *
     * @param settings thresholds and cooldowns
     * @param random spreads the cooldowns of many daemons
     */
    public EndpointHealth(final HealthSettings settings, final RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
    }

    /** Tells whether the endpoint has failed and not yet recovered. */
    public boolean isSuspect() {
        return mSuspect;
    }

    /**
     * Tells whether a dispatch may go to the endpoint now, be it as a recovery probe.
     *
     * @param now the time
     * @return true if it may
     */
    public boolean canDispatch(final Instant now) {
        return !mSuspect || !now.isBefore(mBlockedUntil);
    }

    /**
     * Notes a dispatch; a dispatch to a suspect endpoint is its probe and closes the endpoint.
     *
     * <p>Guards against a probe whose outcome never comes back (it would keep the endpoint closed
     * for good): the probe holds the endpoint for a bounded time only.
     *
     * @param now the time
     * @return the revision to hand back with the outcome
     */
    public long dispatched(final Instant now) {
        if (mSuspect) {
            mBlockedUntil = now.plus(mSettings.probeTimeout());
        }
        return mRevision;
    }

    /**
     * A dispatch succeeded.
     *
     * <p>Guards against a stale success: an attempt that began before a failure can end well after
     * it and would open an endpoint that has died in between. Its revision is older than the
     * failure's, so it changes nothing.
     *
     * @param revision what {@link #dispatched} gave
     */
    public void succeeded(final long revision) {
        if (!mSettings.successRule().clears(revision, mRevision)) {
            return;
        }
        mSuspect = false;
        mConsecutiveFailures = 0;
        mCooldownDoublings = 0;
    }

    /**
     * A dispatch failed in a way that counts against the endpoint.
     *
     * <p>Guards against one death that counts many times: all attempts in progress fail together.
     * Those that were dispatched before the endpoint became suspect tell nothing new, so they
     * neither lengthen the cooldown nor end a probe.
     *
     * @param revision what {@link #dispatched} gave
     * @param now the time
     */
    public void failed(final long revision, final Instant now) {
        if (revision < mSuspectRevision) {
            return;
        }
        mRevision++;
        mConsecutiveFailures++;
        if (mSuspect || mConsecutiveFailures >= mSettings.failuresToSuspect()) {
            markSuspect(now);
        }
    }

    private void markSuspect(final Instant now) {
        mSuspect = true;
        mSuspectRevision = mRevision;
        mBlockedUntil = now.plus(nextCooldown());
        mCooldownDoublings = Math.min(mCooldownDoublings + 1, MAX_COOLDOWN_DOUBLINGS);
    }

    private Duration nextCooldown() {
        final long doubled = mSettings.cooldown().toMillis() << mCooldownDoublings;
        final long base = Math.min(doubled, mSettings.longestCooldown().toMillis());
        return Duration.ofMillis(base + (long) (base * mSettings.jitter() * mRandom.nextDouble()));
    }
}
