package org.whinhead.serving.balance;

import java.time.Duration;

/**
 * Measures the prefill rate of a service's engines from the requests that pass through.
 *
 * <p>A sample is the number of prompt tokens that no other request shares, divided by the time to
 * the first token. Cached tokens, queued prompts and parallel requests are not known exactly and
 * only ever make a sample too small, so a high quantile of the samples is tracked. Under load all
 * samples shrink, and the same demand then needs more endpoints.
 */
public final class PrefillRate {

    /** The initial estimate in tokens per millisecond, from an engine's data sheet. */
    static final double INITIAL_TOKENS_PER_MILLI = 38.4;

    /** The tracked quantile; one sample in ten may be larger. */
    private static final double QUANTILE = 0.9;

    /** The relative step of one sample: about thirty samples double the estimate. */
    private static final double STEP = 0.04;

    /** The shortest prompt to sample; shorter ones show the fixed time to a first token. */
    private static final int MIN_SAMPLE_TOKENS = 2_000;

    /** The bounds of the estimate: wrong samples must not make one engine count as many or none. */
    private static final double MIN_TOKENS_PER_MILLI = INITIAL_TOKENS_PER_MILLI / 2;

    private static final double MAX_TOKENS_PER_MILLI = INITIAL_TOKENS_PER_MILLI * 4;

    private double mTokensPerMillisecond = INITIAL_TOKENS_PER_MILLI;

    /**
     * Adds the sample of a request.
     *
     * @param unsharedTokens the number of prompt tokens that were not cached
     * @param untilFirstToken the time from the dispatch to the first token
     */
    void addSample(final int unsharedTokens, final Duration untilFirstToken) {
        if (unsharedTokens < MIN_SAMPLE_TOKENS) {
            return;
        }
        final double sampleRate = (double) unsharedTokens / Math.max(untilFirstToken.toMillis(), 1);
        final double direction = sampleRate > mTokensPerMillisecond ? QUANTILE : QUANTILE - 1;
        final double adjusted = mTokensPerMillisecond * (1 + STEP * direction);
        mTokensPerMillisecond =
                Math.min(Math.max(adjusted, MIN_TOKENS_PER_MILLI), MAX_TOKENS_PER_MILLI);
    }

    /**
     * Returns the estimated prefill rate.
     *
     * @return tokens per millisecond of one engine
     */
    public double tokensPerMillisecond() {
        return mTokensPerMillisecond;
    }
}
