package org.whinhead.standins.engine;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * What a caller asks an engine to generate.
 *
 * @param requestId the request's identity
 * @param model the model
 * @param prompt all messages, joined; without delivered text
 * @param delivered text that was delivered before and is continued
 * @param startIndex how many tokens that text has
 * @param maxTokens the most tokens to generate now; 0 if the delivered text is whole
 * @param priority its rank; a larger number is served first
 */
public record Generation(
        String requestId,
        String model,
        String prompt,
        String delivered,
        long startIndex,
        int maxTokens,
        int priority) {

    /** Checks every part. */
    public Generation {
        Arguments.requireText(requestId, "requestId");
        Arguments.requireText(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(delivered, "delivered");
        Arguments.requireAtLeast(startIndex, 0, "delivered_tokens");
        Arguments.requireAtLeast(maxTokens, 0, "max_tokens");
    }
}
