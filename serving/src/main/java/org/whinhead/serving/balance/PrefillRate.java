package org.whinhead.serving.balance;

import java.time.Duration;

/**
 * Learns how fast the engines of a service read prompts, from the requests that pass through.
 *
 * <p>A sample is the part of a prompt that no other request shares over the time to the first
 * token. What was cached, what waited ahead and what runs beside is not known for certain, and only
 * ever makes a sample too small; so a high quantile of them is followed. Under load the samples
 * shrink for everybody, and the same demand then needs more endpoints.
 */
public final class PrefillRate {

    /** What is taken before anything was seen: tokens in a millisecond, by an engine's sheet. */
    static final double INITIAL_TOKENS_PER_MILLI = 38.4;

    /** The quantile that is followed; one sample in ten may be larger. */
    private static final double QUANTILE = 0.9;

    /** How far one sample moves the estimate: some thirty samples tell twice the speed. */
    private static final double STEP = 0.04;

    /** Prompts that are shorter tell more of the fixed time to a first token than of the speed. */
    private static final int MIN_SAMPLE_TOKENS = 2_000;

    /** Bounds, so that no wrong sample makes one engine stand for many, or many for none. */
    private static final double MIN_TOKENS_PER_MILLI = INITIAL_TOKENS_PER_MILLI / 2;

    private static final double MAX_TOKENS_PER_MILLI = INITIAL_TOKENS_PER_MILLI * 4;

    private double mTokensPerMillisecond = INITIAL_TOKENS_PER_MILLI;

    /**
     * Takes what a request took.
     *
     * @param unsharedTokens the tokens of its prompt that surely had to be read
     * @param untilFirstToken the time from its dispatch to its first token
     */
    void addSample(final int unsharedTokens, final Duration untilFirstToken) {
        if (unsharedTokens < MIN_SAMPLE_TOKENS) {
            return;
        }
        final double seen = (double) unsharedTokens / Math.max(untilFirstToken.toMillis(), 1);
        final double direction = seen > mTokensPerMillisecond ? QUANTILE : QUANTILE - 1;
        final double moved = mTokensPerMillisecond * (1 + STEP * direction);
        mTokensPerMillisecond =
                Math.min(Math.max(moved, MIN_TOKENS_PER_MILLI), MAX_TOKENS_PER_MILLI);
    }

    /**
     * Returns what was learned.
     *
     * @return tokens that one engine reads in a millisecond
     */
    public double tokensPerMillisecond() {
        return mTokensPerMillisecond;
    }
}
