package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.whinhead.daemon.log.LogDuty;
import org.whinhead.daemon.log.LogStanding;
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.state.fold.FoldView;

/** The operators' calls about what stands on the log and what was decided. */
public final class OperatorCalls {

    private final LogDuty mDuty;
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
    public OperatorCalls(
            final String self,
            final LogDuty duty,
            final PeersInForce peers,
            final DecisionSource decisions) {
        mDuty = duty;
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
                    OperatorReplies.fail(
                            exchange,
                            StatusCodes.NOT_FOUND,
                            "operator.no-such-call",
                            exchange.getRequestMethod(),
                            exchange.getRequestPath());
        }
    }

    /** Tells whether the daemon follows the log and knows the rules in force. */
    boolean isAble() {
        final FoldView fold = mDuty.standing().fold();
        return fold.caughtUp() && !fold.blocked() && mDuty.isLogAnswering();
    }

    /** Describes how far the log was followed. */
    void describe(final ObjectNode root) {
        final LogStanding standing = mDuty.standing();
        root.put("position", standing.fold().state().asOf());
        root.put("source", standing.fold().source().name().toLowerCase());
        root.put("caughtUp", standing.fold().caughtUp());
        root.put("blocked", standing.fold().blocked());
        root.put("answering", mDuty.isLogAnswering());
    }
}
