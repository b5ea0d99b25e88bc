package org.whinhead.daemon.caller;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import java.util.StringJoiner;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;

/** Parses and validates chat bodies; each error names the place in the body. */
final class ChatRequestParser {

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
    private static final Set<String> ROLES = Set.of("system", "user", "assistant", "tool");
    private static final int DEFAULT_MAX_TOKENS = 1024;
    private static final int MAX_TOKENS_LIMIT = 1_000_000;

    private ChatRequestParser() {}

    static ChatRequest parse(final byte[] bytes) throws RequestException {
        final JsonNode root = read(bytes);
        if (!(root instanceof ObjectNode body)) {
            throw malformed("the body: expected an object");
        }
        return new ChatRequest(
                body,
                text(body.path(ChatFields.MODEL), ChatFields.MODEL),
                prompt(body.path(ChatFields.MESSAGES)),
                maxTokens(body.path(ChatFields.MAX_TOKENS)),
                streamed(body.path(ChatFields.STREAM)),
                deliveredText(body.path(ChatFields.DELIVERED_TEXT)));
    }

    private static JsonNode read(final byte[] bytes) throws RequestException {
        try {
            return MAPPER.readTree(bytes);
        } catch (final JsonProcessingException e) {
            final JsonLocation place = e.getLocation();
            final String where =
                    place == null
                            ? "the body"
                            : "line " + place.getLineNr() + ", column " + place.getColumnNr();
            throw malformed(where + ": no valid JSON");
        } catch (final IOException e) {
            throw malformed("the body: no valid JSON");
        }
    }

    private static String prompt(final JsonNode messages) throws RequestException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed(ChatFields.MESSAGES + ": expected a list with a message");
        }
        final StringJoiner prompt = new StringJoiner("\n");
        for (int index = 0; index < messages.size(); index++) {
            final String place = ChatFields.MESSAGES + "[" + index + "]";
            final JsonNode message = messages.get(index);
            if (!message.isObject()) {
                throw malformed(place + ": expected an object");
            }
            final String rolePlace = place + "." + ChatFields.ROLE;
            final String role = text(message.path(ChatFields.ROLE), rolePlace);
            if (!ROLES.contains(role)) {
                throw malformed(rolePlace + ": expected system, user, assistant or tool");
            }
            prompt.add(content(message.path(ChatFields.CONTENT), place));
        }
        return prompt.toString();
    }

    private static String content(final JsonNode content, final String place)
            throws RequestException {
        if (!content.isTextual()) {
            throw malformed(place + "." + ChatFields.CONTENT + ": expected a text");
        }
        return content.textValue();
    }

    private static int maxTokens(final JsonNode node) throws RequestException {
        if (node.isMissingNode()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!node.isInt() || node.intValue() < 1 || node.intValue() > MAX_TOKENS_LIMIT) {
            throw malformed(
                    ChatFields.MAX_TOKENS
                            + ": expected a whole number from 1 to "
                            + MAX_TOKENS_LIMIT);
        }
        return node.intValue();
    }

    private static boolean streamed(final JsonNode node) throws RequestException {
        if (!node.isMissingNode() && !node.isBoolean()) {
            throw malformed(ChatFields.STREAM + ": expected true or false");
        }
        return node.asBoolean(false);
    }

    private static String deliveredText(final JsonNode node) throws RequestException {
        if (!node.isMissingNode() && !node.isTextual()) {
            throw malformed(ChatFields.DELIVERED_TEXT + ": expected a text");
        }
        return node.asText("");
    }

    private static String text(final JsonNode node, final String place) throws RequestException {
        if (!node.isTextual() || node.textValue().isBlank()) {
            throw malformed(place + ": expected a text that is not blank");
        }
        return node.textValue();
    }

    private static RequestException malformed(final String detail) {
        return new RequestException(Refusal.notRun(ErrorCode.MALFORMED_REQUEST, detail));
    }
}
