package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Measures how many tokens a second all callers ask for.
 *
 * <p>It rises at once and falls slowly: endpoints that are ordered away as a wave ebbs are missing
 * when it comes back.
 */
public final class DemandMeter {

    /** The time over which the rate is taken; shorter ones show single large requests. */
    private static final Duration SPAN = Duration.ofMillis(2_500);

    /** How fast a peak is forgotten. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(20);

    /** Below this rate there is no traffic to judge by. */
    private static final double LEAST_RATE = 1_000;

    /** How long traffic must have lasted: the first span is partly without, and far too low. */
    private static final Duration SETTLED_AFTER = Duration.ofSeconds(6);

    private static final double MILLIS_PER_SECOND = 1_000;

    private long mTokensAtStart;
    private Instant mStart;
    private Instant mDecayedAt;
    private Instant mTrafficSince;
    private boolean mSettled;
    private double mRate;

    /**
     * Takes the total as of now.
     *
     * @param tokensInAll tokens of all requests so far
     * @param now the time
     */
    public void total(final long tokensInAll, final Instant now) {
        if (mStart == null) {
            mStart = now;
            mDecayedAt = now;
            mTokensAtStart = tokensInAll;
            return;
        }
        final double millis = Duration.between(mDecayedAt, now).toMillis();
        mRate *= Math.pow(0.5, millis / HALF_LIFE.toMillis());
        mDecayedAt = now;
        final Duration span = Duration.between(mStart, now);
        if (span.compareTo(SPAN) >= 0) {
            final double rate =
                    (tokensInAll - mTokensAtStart) * MILLIS_PER_SECOND / span.toMillis();
            mRate = Math.max(mRate, rate);
            mStart = now;
            mTokensAtStart = tokensInAll;
            settle(now);
        }
    }

    private void settle(final Instant now) {
        if (mRate < LEAST_RATE) {
            mTrafficSince = null;
            mSettled = false;
        } else if (mTrafficSince == null) {
            mTrafficSince = now;
        } else if (!now.isBefore(mTrafficSince.plus(SETTLED_AFTER))) {
            mSettled = true;
        }
    }

    /**
     * Returns the rate to be prepared for.
     *
     * @return tokens a second; empty while there is no traffic, or hardly any was seen
     */
    public OptionalDouble tokensPerSecond() {
        return mSettled ? OptionalDouble.of(mRate) : OptionalDouble.empty();
    }
}
