package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Sends replies to operators. */
final class OperatorReplies {

    private static final String JSON = "application/json";

    private OperatorReplies() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static void sendJson(final HttpServerExchange exchange, final int status, final JsonNode body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(body.toString());
    }

    static void sendError(
            final HttpServerExchange exchange,
            final int status,
            final String key,
            final Object... arguments) {
        sendJson(exchange, status, object().put("message", OperatorMessages.text(key, arguments)));
    }

    /** Sends a reply, or an error if the stage failed, on the IO thread once it has ended. */
    static <T> void sendWhenComplete(
            final HttpServerExchange exchange,
            final CompletionStage<T> stage,
            final Consumer<T> reply) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        stage.whenComplete(
                                (value, fault) ->
                                        exchange.getIoThread()
                                                .execute(
                                                        () ->
                                                                sendOutcome(
                                                                        exchange, value, fault,
                                                                        reply))));
    }

    private static <T> void sendOutcome(
            final HttpServerExchange exchange,
            final T value,
            final Throwable fault,
            final Consumer<T> reply) {
        if (fault == null) {
            reply.accept(value);
        } else {
            sendError(
                    exchange,
                    StatusCodes.INTERNAL_SERVER_ERROR,
                    "operator.fault",
                    fault.getMessage());
        }
    }
}
