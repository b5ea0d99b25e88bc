package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.log.LogSnapshot;
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.state.fold.FoldView;

/** The operators' calls about what stands on the log and what was decided. */
public final class OperatorCallDispatcher {

    private final LogService mLog;
    private final SettingsHandler mSettings;
    private final ChangeHandler mChanges;
    private final ExplainHandler mExplain;

    /**
     * Makes the calls.
     *
     * @param self the daemon's name
     * @param duty follows the log
     * @param peers asks the other daemons
     * @param decisions finds decisions
     */
    public OperatorCallDispatcher(
            final String self,
            final LogService duty,
            final RevisionQuery peers,
            final DecisionSource decisions) {
        mLog = duty;
        mSettings = new SettingsHandler(duty, self, peers);
        mChanges = new ChangeHandler(duty);
        mExplain = new ExplainHandler(decisions);
    }

    /** Handles a call of an operator whose key is known. */
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

    /** Tells whether the daemon follows the log and knows the rules in force. */
    boolean isLogUsable() {
        final FoldView fold = mLog.snapshot().fold();
        return fold.caughtUp() && !fold.blocked() && mLog.isLogAnswering();
    }

    /** Describes how far the log was followed. */
    void addLogStatus(final ObjectNode root) {
        final LogSnapshot standing = mLog.snapshot();
        root.put("position", standing.fold().state().asOf());
        root.put("source", standing.fold().source().name().toLowerCase());
        root.put("caughtUp", standing.fold().caughtUp());
        root.put("blocked", standing.fold().blocked());
        root.put("answering", mLog.isLogAnswering());
    }
}
