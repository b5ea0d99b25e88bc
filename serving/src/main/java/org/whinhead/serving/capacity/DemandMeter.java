package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Measures the tokens per second that all callers request.
 *
 * <p>The rate rises at once and falls slowly: endpoints that are removed as a wave of requests ebbs
 * would be missing in the next one.
 */
public final class DemandMeter {

    /** The time span of a measurement; shorter ones show single large requests. */
    private static final Duration SPAN = Duration.ofMillis(2_500);

    /**
     * The shortest such time while traffic is new, if it contains enough requests. The demand that
     * is assumed before traffic may be far too low, and endpoints take seconds to start.
     */
    private static final Duration MIN_SPAN = Duration.ofMillis(500);

    /** The requests in a span from which chance changes its rate by a tenth at most. */
    private static final double MIN_EARLY_REQUESTS = 100;

    /** The half-life of a peak. */
    private static final Duration PEAK_HALF_LIFE = Duration.ofSeconds(20);

    /** The rate below which there is too little traffic to measure. */
    private static final double MIN_TOKENS_PER_SECOND = 1_000;

    /** The least duration of traffic: the first span is partly without, its rate far too low. */
    private static final Duration SETTLED_AFTER = Duration.ofSeconds(6);

    private static final double MILLIS_PER_SECOND = 1_000;

    private long mTokensAtStart;
    private Instant mStart;
    private Instant mDecayedAt;
    private Instant mTrafficSince;
    private boolean mSettled;
    private double mRate;

    /**
     * Adds the current total of tokens.
     *
     * @param totalTokens the tokens of all requests so far
     * @param requestTokens the tokens of a typical request; 0 if unknown
     * @param now the current time
     */
    public void addTotal(final long totalTokens, final double requestTokens, final Instant now) {
        if (mStart == null) {
            mStart = now;
            mDecayedAt = now;
            mTokensAtStart = totalTokens;
            return;
        }
        final double millis = Duration.between(mDecayedAt, now).toMillis();
        mRate *= Math.pow(0.5, millis / PEAK_HALF_LIFE.toMillis());
        mDecayedAt = now;
        final Duration span = Duration.between(mStart, now);
        final long tokens = totalTokens - mTokensAtStart;
        final boolean early =
                !mSettled
                        && requestTokens > 0
                        && tokens >= MIN_EARLY_REQUESTS * requestTokens
                        && span.compareTo(MIN_SPAN) >= 0;
        if (early || span.compareTo(SPAN) >= 0) {
            final double rate = tokens * MILLIS_PER_SECOND / span.toMillis();
            mRate = Math.max(mRate, rate);
            mStart = now;
            mTokensAtStart = totalTokens;
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
     * Returns the rate that the capacity must serve.
     *
     * @return tokens per second; empty without traffic, or before it has lasted long enough
     */
    public OptionalDouble tokensPerSecond() {
        return mSettled ? OptionalDouble.of(mRate) : OptionalDouble.empty();
    }

    /**
     * Returns the rate measured so far, even while traffic is too new to exclude a higher one.
     *
     * @return tokens per second; 0 without traffic
     */
    public double minimumTokensPerSecond() {
        return mRate;
    }
}
