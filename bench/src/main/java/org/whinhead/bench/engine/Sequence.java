package org.whinhead.bench.engine;

import java.time.Instant;
import org.whinhead.api.request.RequestSpec;

/** One request in an engine; changed in place by the engine. */
public final class Sequence {

    private final RequestSpec mSpec;
    private final int mOutputTokens;
    private int mUncachedPrompt;
    private int mPromptLeft;
    private int mGenerated;
    private Instant mFirstTokenAt = Instant.MAX;

    /**
     * Makes a sequence that has not begun.
     *
     * @param spec the request
     * @param outputTokens how many tokens its answer has
     */
    public Sequence(final RequestSpec spec, final int outputTokens) {
        mSpec = spec;
        mOutputTokens = outputTokens;
    }

    /** Returns the request. */
    public RequestSpec spec() {
        return mSpec;
    }

    /** Returns the tokens generated so far. */
    public int generatedTokens() {
        return mGenerated;
    }

    /** Returns the prompt tokens that were not in the cache. */
    public int uncachedPromptTokens() {
        return mUncachedPrompt;
    }

    /** Returns the tokens computed so far, of the prompt and of the answer. */
    public int computedTokens() {
        return mUncachedPrompt - mPromptLeft + mGenerated;
    }

    /** Returns when the first token came. */
    public Instant firstTokenAt() {
        return mFirstTokenAt;
    }

    void startPrefill(final int uncachedPrompt) {
        mUncachedPrompt = uncachedPrompt;
        mPromptLeft = uncachedPrompt;
    }

    boolean isPrefilling() {
        return mPromptLeft > 0;
    }

    int prefill(final int mostTokens) {
        final int tokens = Math.min(mostTokens, mPromptLeft);
        mPromptLeft -= tokens;
        return tokens;
    }

    void decode(final Instant at) {
        if (mGenerated == 0) {
            mFirstTokenAt = at;
        }
        mGenerated++;
    }

    boolean isFinished() {
        return mGenerated >= mOutputTokens;
    }
}
