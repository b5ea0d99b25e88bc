package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.log.LogSnapshot;
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.state.fold.FoldView;

/** Dispatches operators' calls about the settings on the log and the decisions on requests. */
public final class OperatorCallDispatcher {

    private final LogService mLog;
    private final SettingsHandler mSettings;
    private final ChangeHandler mChanges;
    private final ExplainHandler mExplain;

    /**
     * Creates a dispatcher.
     *
     * @param self the daemon's name
     * @param log the log service
     * @param peers the query of the other daemons' revisions
     * @param decisions the source of decisions
     */
    public OperatorCallDispatcher(
            final String self,
            final LogService log,
            final RevisionQuery peers,
            final DecisionSource decisions) {
        mLog = log;
        mSettings = new SettingsHandler(log, self, peers);
        mChanges = new ChangeHandler(log);
        mExplain = new ExplainHandler(decisions);
    }

    /** Handles a call of an authenticated operator. */
    void handle(final HttpServerExchange exchange, final OperatorKey key) {
        final String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        switch (call) {
            case "GET /operator/settings" -> mSettings.get(exchange);
            case "GET /operator/settings/history" -> mSettings.history(exchange);
            case "GET /operator/settings/inforce" -> mSettings.inForce(exchange);
            case "POST /operator/settings" -> mChanges.post(exchange, key);
            case "GET /operator/explain" -> mExplain.explain(exchange);
            default ->
                    OperatorReplies.sendError(
                            exchange,
                            StatusCodes.NOT_FOUND,
                            "operator.no-such-call",
                            exchange.getRequestMethod(),
                            exchange.getRequestPath());
        }
    }

    /** Returns whether the log answers and the fold has caught up and supports its rules. */
    boolean isLogUsable() {
        final FoldView fold = mLog.snapshot().fold();
        return fold.caughtUp() && !fold.blocked() && mLog.isLogAnswering();
    }

    /** Adds the fold's position in the log and the log's availability to a status reply. */
    void addLogStatus(final ObjectNode root) {
        final LogSnapshot snapshot = mLog.snapshot();
        root.put("position", snapshot.fold().state().asOf());
        root.put("source", snapshot.fold().source().name().toLowerCase());
        root.put("caughtUp", snapshot.fold().caughtUp());
        root.put("blocked", snapshot.fold().blocked());
        root.put("answering", mLog.isLogAnswering());
    }
}
