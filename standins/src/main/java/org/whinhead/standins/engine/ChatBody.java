package org.whinhead.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.standins.http.StandInCall;

/** Parses chat-completions requests and builds their responses. */
final class ChatBody {

    private static final int DEFAULT_MAX_TOKENS = 64;
    private static final String FINISH_REASON = "length";
    private static final String ASSISTANT = "assistant";

    private ChatBody() {}

    /** Parses a request; a body without a required field is malformed. */
    static Generation parse(final String requestId, final JsonNode body) throws IOException {
        final JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new IOException("messages is missing");
        }
        final List<String> contents = new ArrayList<>();
        messages.forEach(message -> contents.add(content(message.path("content"))));
        String delivered = "";
        long startIndex = 0;
        if (body.path("continue_final_message").asBoolean()) {
            final JsonNode last = messages.get(messages.size() - 1);
            if (!ASSISTANT.equals(last.path("role").asText())) {
                throw new IOException("the last message is not the assistant's");
            }
            delivered = contents.remove(contents.size() - 1);
            startIndex = body.path("delivered_tokens").asLong();
        }
        return new Generation(
                requestId,
                body.path("model").asText(),
                String.join("\n", contents),
                delivered,
                startIndex,
                body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
                body.path("priority").asInt());
    }

    /** Returns the event of one token; the last token's event includes finish reason and usage. */
    static ObjectNode token(final EngineStream stream, final long index) {
        final boolean last =
                stream.state() == EngineStream.State.FINISHED && index == stream.end() - 1;
        return chunk(stream, stream.token(index), last);
    }

    /** Returns the final event without a token, for a caller that has every token. */
    static ObjectNode end(final EngineStream stream) {
        return chunk(stream, "", true);
    }

    /** Returns the complete response. */
    static ObjectNode whole(final EngineStream stream) {
        final ObjectNode root = root(stream, "chat.completion");
        final ObjectNode choice = choices(root).addObject();
        choice.put("index", 0);
        choice.putObject("message")
                .put("role", ASSISTANT)
                .put("content", String.join("", stream.tokens()));
        choice.put("finish_reason", FINISH_REASON);
        return usage(root, stream);
    }

    private static ObjectNode chunk(
            final EngineStream stream, final String text, final boolean last) {
        final ObjectNode root = root(stream, "chat.completion.chunk");
        final ObjectNode choice = choices(root).addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", text);
        if (!last) {
            choice.putNull("finish_reason");
            return root;
        }
        choice.put("finish_reason", FINISH_REASON);
        return usage(root, stream);
    }

    private static ObjectNode root(final EngineStream stream, final String kind) {
        return StandInCall.object()
                .put("id", stream.id())
                .put("object", kind)
                .put("model", stream.generation().model());
    }

    private static ArrayNode choices(final ObjectNode root) {
        return root.putArray("choices");
    }

    private static ObjectNode usage(final ObjectNode root, final EngineStream stream) {
        root.putObject("usage")
                .put("prompt_tokens", stream.promptTokens())
                .put("completion_tokens", stream.generated())
                .put("total_tokens", stream.promptTokens() + stream.generated())
                .putObject("prompt_tokens_details")
                .put("cached_tokens", stream.cachedTokens());
        return root;
    }

    private static String content(final JsonNode node) {
        if (!node.isArray()) {
            return node.asText();
        }
        final StringBuilder text = new StringBuilder();
        node.forEach(part -> text.append(part.path("text").asText()));
        return text.toString();
    }
}
