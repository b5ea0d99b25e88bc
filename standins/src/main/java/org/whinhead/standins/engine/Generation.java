package org.whinhead.standins.engine;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A request to generate tokens.
 *
 * @param requestId the request's identity
 * @param model the model
 * @param prompt all messages, joined, without delivered text
 * @param delivered the text that the caller has already received and the engine continues
 * @param startIndex the number of tokens in the delivered text
 * @param maxTokens the maximum number of tokens to generate now; 0 if the answer is complete
 * @param priority the request's priority; larger numbers are served first
 */
public record Generation(
        String requestId,
        String model,
        String prompt,
        String delivered,
        long startIndex,
        int maxTokens,
        int priority) {

    /** Validates the components. */
    public Generation {
        Arguments.requireText(requestId, "requestId");
        Arguments.requireText(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(delivered, "delivered");
        Arguments.requireAtLeast(startIndex, 0, "delivered_tokens");
        Arguments.requireAtLeast(maxTokens, 0, "max_tokens");
    }
}
