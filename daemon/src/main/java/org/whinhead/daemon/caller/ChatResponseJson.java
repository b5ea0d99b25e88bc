package org.whinhead.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.whinhead.requests.Completion;

/**
 * Creates the JSON of chat responses.
 *
 * @param id the id of the response
 * @param model the model's name as in the caller's request
 */
record ChatResponseJson(String id, String model) {

    private static final String CHUNK = "chat.completion.chunk";
    private static final String COMPLETION = "chat.completion";

    /** Returns the chunk of one token. */
    ObjectNode tokenChunk(final String text) {
        final ObjectNode root = root(CHUNK);
        final ObjectNode choice = choice(root);
        choice.putObject("delta").put(ChatFields.CONTENT, text);
        choice.putNull("finish_reason");
        return root;
    }

    /** Returns the last chunk, which has the finish reason and the usage. */
    ObjectNode finalChunk(final Completion completion) {
        final ObjectNode root = root(CHUNK);
        final ObjectNode choice = choice(root);
        choice.putObject("delta");
        choice.put("finish_reason", completion.finishReason());
        return withUsage(root, completion);
    }

    /** Returns the response of a request that is not streamed. */
    ObjectNode completion(final String text, final Completion completion) {
        final ObjectNode root = root(COMPLETION);
        final ObjectNode choice = choice(root);
        choice.putObject("message")
                .put(ChatFields.ROLE, ChatFields.ASSISTANT)
                .put(ChatFields.CONTENT, text);
        choice.put("finish_reason", completion.finishReason());
        return withUsage(root, completion);
    }

    private ObjectNode root(final String kind) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", id)
                .put("object", kind)
                .put(ChatFields.MODEL, model);
    }

    private static ObjectNode choice(final ObjectNode root) {
        return root.putArray("choices").addObject().put("index", 0);
    }

    private static ObjectNode withUsage(final ObjectNode root, final Completion completion) {
        root.putObject("usage")
                .put("prompt_tokens", completion.promptTokens())
                .put("completion_tokens", completion.generatedTokens())
                .put("total_tokens", completion.promptTokens() + completion.generatedTokens())
                .putObject("prompt_tokens_details")
                .put("cached_tokens", completion.cachedTokens());
        return root;
    }
}
