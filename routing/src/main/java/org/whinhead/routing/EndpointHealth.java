package org.whinhead.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * The circuit breaker of one endpoint: healthy, or suspect with one recovery probe at a time after
 * a cooldown.
 *
 * <p>Each dispatch gets a revision and reports it with its outcome, so that the outcome can be
 * ordered relative to failures reported in between.
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
     * Creates the state of a healthy endpoint.
     *
     * @param settings the thresholds and cooldowns
     * @param random the source of the cooldown's jitter
     */
    public EndpointHealth(final HealthSettings settings, final RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
    }

    /** Returns whether the endpoint has failed and not yet recovered. */
    public boolean isSuspect() {
        return mSuspect;
    }

    /**
     * Returns whether a request, or a recovery probe if suspect, may be dispatched to the endpoint.
     *
     * @param now the current time
     * @return true if a dispatch is allowed
     */
    public boolean canDispatch(final Instant now) {
        return !mSuspect || !now.isBefore(mBlockedUntil);
    }

    /**
     * Records a dispatch. A dispatch to a suspect endpoint is a probe and blocks further ones.
     *
     * <p>The probe blocks for the probe timeout only. Otherwise a probe without an outcome would
     * block the endpoint permanently.
     *
     * @param now the current time
     * @return the revision to report with the outcome
     */
    public long dispatched(final Instant now) {
        if (mSuspect) {
            mBlockedUntil = now.plus(mSettings.probeTimeout());
        }
        return mRevision;
    }

    /**
     * Records the success of a dispatch.
     *
     * <p>By default a success is ignored if its revision is older than the last failure: an attempt
     * that began before a failure can succeed after the endpoint has died.
     *
     * @param revision the revision that {@link #dispatched} returned
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
     * Records the failure of a dispatch that the endpoint is responsible for.
     *
     * <p>Failures of attempts that were dispatched before the endpoint became suspect neither
     * extend the cooldown nor end a probe: when an endpoint dies, all its attempts fail together.
     *
     * @param revision the revision that {@link #dispatched} returned
     * @param now the current time
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
