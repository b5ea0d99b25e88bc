package org.whinhead.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import org.whinhead.api.model.ModelRef;
import org.whinhead.daemon.request.RequestBody;

/**
 * A caller's validated chat request.
 *
 * @param body the body as received, which must not be modified
 * @param model the model's name as in the request
 * @param prompt the contents of all messages, joined by line feeds
 * @param maxTokens the maximum number of tokens to generate, at least 1
 * @param streamed whether the caller requested the tokens as a stream
 * @param deliveredText the text that the caller already has; empty unless it resumes an answer
 */
record ChatRequest(
        ObjectNode body,
        String model,
        String prompt,
        int maxTokens,
        boolean streamed,
        String deliveredText) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    ChatRequest {
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(deliveredText, "deliveredText");
    }

    /** Returns the encoder of the bodies that are sent to engines. */
    RequestBody.ChatEncoder encoder(final ModelRef resolved, final int priority) {
        return (text, tokens) -> encode(resolved, priority, text, tokens);
    }

    private byte[] encode(
            final ModelRef resolved, final int priority, final String text, final long tokens) {
        final ObjectNode outgoing = MAPPER.createObjectNode();
        outgoing.setAll(body);
        outgoing.remove(ChatFields.DELIVERED_TEXT);
        outgoing.put(ChatFields.MODEL, resolved.toString());
        outgoing.put(ChatFields.STREAM, true);
        outgoing.put(ChatFields.PRIORITY, priority);
        outgoing.put(ChatFields.MAX_TOKENS, Math.max(0, maxTokens - tokens));
        if (tokens > 0) {
            continueAfter(outgoing, text, tokens);
        }
        try {
            return MAPPER.writeValueAsBytes(outgoing);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("a parsed body can always be written", e);
        }
    }

    private void continueAfter(final ObjectNode outgoing, final String text, final long tokens) {
        final ArrayNode messages = MAPPER.createArrayNode();
        messages.addAll((ArrayNode) body.get(ChatFields.MESSAGES));
        messages.addObject()
                .put(ChatFields.ROLE, ChatFields.ASSISTANT)
                .put(ChatFields.CONTENT, text);
        outgoing.set(ChatFields.MESSAGES, messages);
        outgoing.put(ChatFields.CONTINUE, true);
        outgoing.put(ChatFields.DELIVERED_TOKENS, tokens);
    }
}
