package org.whinhead.requests;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * How a generated answer came about.
 *
 * @param finishReason the engine's reason, for example {@code stop}
 * @param promptTokens prompt tokens of the request
 * @param cachedTokens prompt tokens found in a cache by the first attempt
 * @param generatedTokens tokens in the answer
 * @param recomputedTokens tokens, of prompt and answer, that were computed again
 * @param attempts how many attempts were made
 */
public record Completion(
        String finishReason,
        int promptTokens,
        int cachedTokens,
        long generatedTokens,
        long recomputedTokens,
        int attempts) {

    /** Checks every part. */
    public Completion {
        Objects.requireNonNull(finishReason, "finishReason");
        Arguments.requireAtLeast(generatedTokens, 0, "generatedTokens");
        Arguments.requireAtLeast(recomputedTokens, 0, "recomputedTokens");
        Arguments.requireAtLeast(attempts, 1, "attempts");
    }
}
