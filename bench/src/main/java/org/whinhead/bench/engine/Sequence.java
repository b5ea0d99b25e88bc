package org.whinhead.bench.engine;

import java.time.Instant;
import org.whinhead.api.request.RequestSpec;

/** Progress of one request in an engine, which updates it in place. */
public final class Sequence {

    private final RequestSpec mSpec;
    private final int mOutputTokens;
    private int mUncachedPrompt;
    private int mPromptLeft;
    private int mGenerated;
    private Instant mFirstTokenAt = Instant.MAX;

    /**
     * Creates a sequence whose prefill has not started.
     *
     * @param spec the request
     * @param outputTokens number of tokens in its answer
     */
    public Sequence(final RequestSpec spec, final int outputTokens) {
        mSpec = spec;
        mOutputTokens = outputTokens;
    }

    /** Returns the request. */
    public RequestSpec spec() {
        return mSpec;
    }

    /** Returns the number of tokens generated so far. */
    public int generatedTokens() {
        return mGenerated;
    }

    /** Returns the number of prompt tokens that were not in the prefix cache. */
    public int uncachedPromptTokens() {
        return mUncachedPrompt;
    }

    /** Returns the number of prompt and answer tokens computed so far. */
    public int computedTokens() {
        return mUncachedPrompt - mPromptLeft + mGenerated;
    }

    /** Returns when the first token was generated, or {@link Instant#MAX} before that. */
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

    int prefill(final int maxTokens) {
        final int tokens = Math.min(maxTokens, mPromptLeft);
        mPromptLeft -= tokens;
        return tokens;
    }

    void decode(final Instant now) {
        if (mGenerated == 0) {
            mFirstTokenAt = now;
        }
        mGenerated++;
    }

    boolean isFinished() {
        return mGenerated >= mOutputTokens;
    }
}
