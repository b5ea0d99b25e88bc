package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.daemon.burn.BurnHandler;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.OperatorKey;

/** Serves operators' calls, metrics and health probes. */
public final class OperatorHandler implements HttpHandler {

    private static final String SCHEME = "Bearer ";

    private final DaemonSettings mSettings;
    private final DaemonStatus mStatus;
    private final Meters mMeters;
    private final OperatorCallDispatcher mCalls;
    private final BurnHandler mBurn;

    /**
     * Creates a handler.
     *
     * @param settings the daemon's settings, with the operators' keys
     * @param status the daemon's status
     * @param meters the metrics
     * @param calls the dispatcher of calls about the log and the decisions
     * @param burn the handler of the report on ended requests
     */
    public OperatorHandler(
            final DaemonSettings settings,
            final DaemonStatus status,
            final Meters meters,
            final OperatorCallDispatcher calls,
            final BurnHandler burn) {
        mSettings = settings;
        mStatus = status;
        mMeters = meters;
        mCalls = calls;
        mBurn = burn;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            authenticate(exchange, key -> mCalls.handle(exchange, key));
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/health/live" -> sendText(exchange, StatusCodes.OK, "live\n");
            case "/health/ready" -> sendReadiness(exchange);
            case "/metrics" -> sendText(exchange, StatusCodes.OK, mMeters.text());
            case "/operator/status" -> authenticate(exchange, key -> sendStatus(exchange));
            case "/operator/addresses" -> authenticate(exchange, key -> sendAddresses(exchange));
            case "/operator/burn" -> authenticate(exchange, key -> mBurn.handleRequest(exchange));
            default -> authenticate(exchange, key -> mCalls.handle(exchange, key));
        }
    }

    private void sendReadiness(final HttpServerExchange exchange) {
        if (mStatus.isReady()) {
            sendText(exchange, StatusCodes.OK, "ready\n");
        } else {
            sendText(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
        }
    }

    private void authenticate(
            final HttpServerExchange exchange, final Consumer<OperatorKey> handler) {
        final String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        final Optional<OperatorKey> key =
                Optional.ofNullable(header)
                        .filter(text -> text.startsWith(SCHEME))
                        .flatMap(
                                text ->
                                        mSettings.operator(
                                                text.substring(SCHEME.length()).strip()));
        if (key.isPresent()) {
            handler.accept(key.get());
        } else {
            OperatorReplies.sendError(exchange, StatusCodes.UNAUTHORIZED, "operator.unknown-key");
        }
    }

    private void sendStatus(final HttpServerExchange exchange) {
        final ObjectNode root = OperatorReplies.object();
        root.put("daemon", mSettings.name());
        root.put("incarnation", mStatus.id().value());
        root.put("domain", mSettings.domain().toString());
        final boolean usable = mStatus.settings().unusablePaths().isEmpty();
        root.put("able", mStatus.isReady() && usable && mCalls.isLogUsable());
        final ArrayNode notUsable = root.putArray("notUsable");
        mStatus.settings().unusablePaths().forEach(path -> notUsable.add(path.text()));
        root.put("settingsRevision", mStatus.settingsRevision());
        root.put("inProgress", mStatus.inProgress());
        root.put("stopping", mStatus.isStopping());
        mCalls.addLogStatus(root.putObject("log"));
        OperatorReplies.sendJson(exchange, StatusCodes.OK, root);
    }

    private void sendAddresses(final HttpServerExchange exchange) {
        final ObjectNode root = OperatorReplies.object();
        final ArrayNode addresses = root.putArray("addresses");
        for (final EntryAddress address : mStatus.addresses()) {
            addresses
                    .addObject()
                    .put("uri", address.uri().toString())
                    .put("domain", address.domain().toString())
                    .put("state", "live");
        }
        OperatorReplies.sendJson(exchange, StatusCodes.OK, root);
    }

    private static void sendText(
            final HttpServerExchange exchange, final int status, final String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text);
    }
}
