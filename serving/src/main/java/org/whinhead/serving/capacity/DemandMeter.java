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

    /**
     * The least such time while traffic is new, if enough requests came in it. What is assumed
     * before traffic comes may be far too little, and endpoints take seconds to start.
     */
    private static final Duration MIN_SPAN = Duration.ofMillis(500);

    /** Requests in a span from which chance moves its rate by a tenth at most. */
    private static final double MIN_EARLY_REQUESTS = 100;

    /** How fast a peak is forgotten. */
    private static final Duration PEAK_HALF_LIFE = Duration.ofSeconds(20);

    /** Below this rate there is no traffic to judge by. */
    private static final double MIN_TOKENS_PER_SECOND = 1_000;

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
     * @param requestTokens the tokens of a usual request; 0 if none is known
     * @param now the time
     */
    public void addTotal(final long tokensInAll, final double requestTokens, final Instant now) {
        if (mStart == null) {
            mStart = now;
            mDecayedAt = now;
            mTokensAtStart = tokensInAll;
            return;
        }
        final double millis = Duration.between(mDecayedAt, now).toMillis();
        mRate *= Math.pow(0.5, millis / PEAK_HALF_LIFE.toMillis());
        mDecayedAt = now;
        final Duration span = Duration.between(mStart, now);
        final long tokens = tokensInAll - mTokensAtStart;
        final boolean early =
                !mSettled
                        && requestTokens > 0
                        && tokens >= MIN_EARLY_REQUESTS * requestTokens
                        && span.compareTo(MIN_SPAN) >= 0;
        if (early || span.compareTo(SPAN) >= 0) {
            final double rate = tokens * MILLIS_PER_SECOND / span.toMillis();
            mRate = Math.max(mRate, rate);
            mStart = now;
            mTokensAtStart = tokensInAll;
            updateSettled(now);
        }
    }

    private void updateSettled(final Instant now) {
        if (mRate < MIN_TOKENS_PER_SECOND) {
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

    /**
     * Returns the rate that was seen so far, also while traffic is too new to tell that there is no
     * more.
     *
     * @return tokens a second; 0 if none were seen
     */
    public double minimumTokensPerSecond() {
        return mRate;
    }
}
