package org.whinhead.requests;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Statistics of a completed generated answer.
 *
 * @param finishReason the engine's finish reason, for example {@code stop}
 * @param promptTokens the number of prompt tokens of the request
 * @param cachedTokens the number of prompt tokens that the first attempt found in a cache
 * @param generatedTokens the number of tokens in the answer
 * @param recomputedTokens the number of prompt and answer tokens that were recomputed
 * @param attempts the number of attempts, at least 1
 */
public record Completion(
        String finishReason,
        int promptTokens,
        int cachedTokens,
        long generatedTokens,
        long recomputedTokens,
        int attempts) {

    /** Validates the components. */
    public Completion {
        Objects.requireNonNull(finishReason, "finishReason");
        Arguments.requireAtLeast(generatedTokens, 0, "generatedTokens");
        Arguments.requireAtLeast(recomputedTokens, 0, "recomputedTokens");
        Arguments.requireAtLeast(attempts, 1, "attempts");
    }
}
