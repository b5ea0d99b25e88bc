package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.List;
import java.util.Optional;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;

/** Creates the HTTP requests of a planned request; the identity is the same in every attempt. */
final class RequestWriter {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICE_PATH = "/v1/services/";

    private final ObjectMapper mMapper;
    private final PlannedRequest mRequest;
    private final ObjectNode mBody;

    /**
     * Creates a writer and the JSON body of the request.
     *
     * @param mapper writes JSON
     * @param request the planned request
     */
    RequestWriter(final ObjectMapper mapper, final PlannedRequest request) {
        mMapper = mapper;
        mRequest = request;
        mBody = request.kind().style().isPlainService() ? plainBody() : chatBody();
    }

    /**
     * Creates the HTTP request of one attempt.
     *
     * @param daemon the daemon's address
     * @param ticket the ticket of the answer in progress, if a daemon sent one
     * @param received the tokens that the caller received so far
     * @param repeat whether an earlier attempt may have run
     * @return the request to send
     */
    HttpRequest requestTo(
            final URI daemon,
            final Optional<String> ticket,
            final List<String> received,
            final boolean repeat) {
        final HttpRequest.Builder builder =
                HttpRequest.newBuilder(daemon.resolve(path()))
                        .header("Authorization", "Bearer " + mRequest.customer().key())
                        .header("Content-Type", "application/json")
                        .header("X-Request-Id", mRequest.id().value())
                        .POST(BodyPublishers.ofString(bodyWithDelivered(received)));
        if (!mRequest.kind().style().isIdempotent()) {
            builder.header("Idempotency-Key", mRequest.id().value());
            builder.header("X-Idempotent", "false");
        }
        if (repeat) {
            builder.header("X-Whinhead-Repeat", "true");
        }
        ticket.ifPresent(value -> builder.header("X-Whinhead-Ticket", value));
        if (!received.isEmpty()) {
            builder.header("Last-Event-ID", Integer.toString(received.size() - 1));
        }
        return builder.build();
    }

    /**
     * Verifies that a plain service answered this request and ran a non-idempotent request once.
     * Fields that are missing from the answer are not compared.
     *
     * @param answer the parsed answer
     * @return the fault of the answer, if any
     */
    Optional<AnswerFault> faultOf(final JsonNode answer) {
        final String key = answer.path("idempotencyKey").asText(mRequest.id().value());
        final String received = answer.path("received").asText(toJson(mBody));
        if (!key.equals(mRequest.id().value()) || !received.equals(toJson(mBody))) {
            return Optional.of(AnswerFault.FOREIGN);
        }
        final boolean repeated = answer.path("execution").asInt(1) > 1;
        return repeated && !mRequest.kind().style().isIdempotent()
                ? Optional.of(AnswerFault.DOUBLED)
                : Optional.empty();
    }

    /** Adds the text received so far, from which the daemon resumes if the engine is lost. */
    private String bodyWithDelivered(final List<String> received) {
        if (received.isEmpty()) {
            return toJson(mBody);
        }
        return toJson(mBody.deepCopy().put("delivered_text", String.join("", received)));
    }

    private String path() {
        return mRequest.kind().style().isPlainService()
                ? SERVICE_PATH + mRequest.kind().target()
                : CHAT_PATH;
    }

    private ObjectNode plainBody() {
        return mMapper.createObjectNode().put("note", mRequest.prompt());
    }

    private ObjectNode chatBody() {
        final ObjectNode body = mMapper.createObjectNode();
        body.put("model", mRequest.kind().target());
        final ArrayNode messages = body.putArray("messages");
        int remaining = mRequest.messages().size();
        for (final String content : mRequest.messages()) {
            remaining--;
            messages.addObject()
                    .put("role", remaining == 0 ? "user" : "system")
                    .put("content", content);
        }
        body.put("max_tokens", mRequest.tokens());
        body.put("stream", mRequest.kind().style().isStreamed());
        return body;
    }

    private String toJson(final ObjectNode body) {
        try {
            return mMapper.writeValueAsString(body);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("request body cannot be written as JSON", e);
        }
    }
}
