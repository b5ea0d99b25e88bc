package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.whinhead.daemon.burn.BurnHandler;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.daemon.DaemonSettings;

/** Answers operators and the probes of health. */
public final class OperatorHandler implements HttpHandler {

    private static final String SCHEME = "Bearer ";
    private static final String JSON = "application/json";

    private final DaemonSettings mSettings;
    private final DaemonStatus mStatus;
    private final Meters mMeters;
    private final BurnHandler mBurn;

    /**
     * Makes a handler.
     *
     * @param settings whose operators may ask
     * @param status what the daemon knows of itself
     * @param meters the metrics
     * @param burn what was counted of ended requests
     */
    public OperatorHandler(
            final DaemonSettings settings,
            final DaemonStatus status,
            final Meters meters,
            final BurnHandler burn) {
        mSettings = settings;
        mStatus = status;
        mMeters = meters;
        mBurn = burn;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            fail(exchange, StatusCodes.NOT_FOUND, "only GET is served here yet");
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/health/live" -> text(exchange, StatusCodes.OK, "live\n");
            case "/health/ready" -> ready(exchange);
            case "/metrics" -> text(exchange, StatusCodes.OK, mMeters.text());
            case "/operator/status" -> asOperator(exchange, () -> status(exchange));
            case "/operator/addresses" -> asOperator(exchange, () -> addresses(exchange));
            case "/operator/burn" -> asOperator(exchange, () -> mBurn.handleRequest(exchange));
            default ->
                    fail(
                            exchange,
                            StatusCodes.NOT_FOUND,
                            "nothing at " + exchange.getRequestPath());
        }
    }

    private void ready(final HttpServerExchange exchange) {
        if (mStatus.isReady()) {
            text(exchange, StatusCodes.OK, "ready\n");
        } else {
            text(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
        }
    }

    private void asOperator(final HttpServerExchange exchange, final Runnable answer) {
        final String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null
                || !header.startsWith(SCHEME)
                || mSettings.operator(header.substring(SCHEME.length()).strip()).isEmpty()) {
            fail(exchange, StatusCodes.UNAUTHORIZED, "the key is not known");
            return;
        }
        answer.run();
    }

    private void status(final HttpServerExchange exchange) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("daemon", mSettings.name());
        root.put("incarnation", mStatus.id().value());
        root.put("domain", mSettings.domain().toString());
        root.put("able", mStatus.isReady() && mStatus.settings().notUsable().isEmpty());
        final ArrayNode notUsable = root.putArray("notUsable");
        mStatus.settings().notUsable().forEach(path -> notUsable.add(path.text()));
        root.put("settingsRevision", mStatus.settingsRevision());
        root.put("inProgress", mStatus.inProgress());
        root.put("stopping", mStatus.isStopping());
        json(exchange, StatusCodes.OK, root);
    }

    private void addresses(final HttpServerExchange exchange) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode();
        final ArrayNode addresses = root.putArray("addresses");
        for (final EntryAddress address : mStatus.addresses()) {
            addresses
                    .addObject()
                    .put("uri", address.uri().toString())
                    .put("domain", address.domain().toString())
                    .put("state", "live");
        }
        json(exchange, StatusCodes.OK, root);
    }

    private static void fail(
            final HttpServerExchange exchange, final int status, final String message) {
        json(exchange, status, JsonNodeFactory.instance.objectNode().put("message", message));
    }

    private static void json(
            final HttpServerExchange exchange, final int status, final ObjectNode root) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(root.toString());
    }

    private static void text(
            final HttpServerExchange exchange, final int status, final String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text);
    }
}
