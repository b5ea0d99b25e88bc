package org.whinhead.daemon.burn;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.DaemonReportJson;

/** Answers {@code GET /operator/burn} with the report of this daemon's request samples. */
public final class BurnHandler implements HttpHandler {

    private static final String JSON = "application/json";

    private final BurnCollector mCollector;
    private final DecisionLoop mLoop;

    /**
     * Creates a handler.
     *
     * @param collector the collector of samples
     * @param loop the decision loop, on whose thread the collector creates the report
     */
    public BurnHandler(final BurnCollector collector, final DecisionLoop loop) {
        mCollector = collector;
        mLoop = loop;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> requestReport(exchange));
    }

    private void requestReport(final HttpServerExchange exchange) {
        if (!mLoop.offer(new DecisionEvent.Task(() -> createReport(exchange)))) {
            final String body =
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("message", "the decision ring is full")
                            .put("verdict", "not-run")
                            .toString();
            send(exchange, StatusCodes.SERVICE_UNAVAILABLE, body);
        }
    }

    /** Creates the report on the decision thread; a worker writes the JSON, which takes longer. */
    private void createReport(final HttpServerExchange exchange) {
        final DaemonReport report = mCollector.report();
        exchange.getConnection()
                .getWorker()
                .execute(
                        () -> {
                            final String body = DaemonReportJson.write(report).toString();
                            exchange.getIoThread()
                                    .execute(() -> send(exchange, StatusCodes.OK, body));
                        });
    }

    private static void send(
            final HttpServerExchange exchange, final int status, final String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(body);
    }
}
