package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.Optional;
import org.whinhead.standins.load.mix.PlannedRequest;

/** Writes a planned request as HTTP; the body is the same on every try. */
final class RequestWriter {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICE_PATH = "/v1/services/";

    private final ObjectMapper mMapper;
    private final PlannedRequest mRequest;
    private final String mBody;

    /**
     * Writes the body.
     *
     * @param mapper the JSON library
     * @param request the request
     */
    RequestWriter(final ObjectMapper mapper, final PlannedRequest request) {
        mMapper = mapper;
        mRequest = request;
        mBody = request.kind().style().plain() ? plainBody() : chatBody();
    }

    /**
     * Addresses the request to a daemon.
     *
     * @param daemon the daemon's address
     * @param ticket where the answer is being made, if a daemon said so
     * @param received how many tokens the caller has
     * @return the request to send
     */
    HttpRequest to(final URI daemon, final Optional<String> ticket, final int received) {
        final HttpRequest.Builder builder =
                HttpRequest.newBuilder(daemon.resolve(path()))
                        .header("Authorization", "Bearer " + mRequest.customer().key())
                        .header("Content-Type", "application/json")
                        .header("X-Request-Id", mRequest.id().value())
                        .POST(BodyPublishers.ofString(mBody));
        if (!mRequest.kind().style().idempotent()) {
            builder.header("Idempotency-Key", mRequest.id().value());
            builder.header("X-Idempotent", "false");
        }
        ticket.ifPresent(value -> builder.header("X-Whinhead-Ticket", value));
        if (received > 0) {
            builder.header("Last-Event-ID", Integer.toString(received - 1));
        }
        return builder.build();
    }

    private String path() {
        return mRequest.kind().style().plain()
                ? SERVICE_PATH + mRequest.kind().target()
                : CHAT_PATH;
    }

    private String plainBody() {
        return text(mMapper.createObjectNode().put("note", mRequest.prompt()));
    }

    private String chatBody() {
        final ObjectNode body = mMapper.createObjectNode();
        body.put("model", mRequest.kind().target());
        final ArrayNode messages = body.putArray("messages");
        int last = mRequest.messages().size();
        for (final String content : mRequest.messages()) {
            last--;
            messages.addObject().put("role", last == 0 ? "user" : "system").put("content", content);
        }
        body.put("max_tokens", mRequest.tokens());
        body.put("stream", mRequest.kind().style().streamed());
        return text(body);
    }

    private String text(final ObjectNode body) {
        try {
            return mMapper.writeValueAsString(body);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers has no JSON", e);
        }
    }
}
