package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.List;
import org.whinhead.requests.Decision;

/** Replies to operators with the decisions about a request and their causes. */
final class ExplainHandler {

    private final DecisionSource mDecisions;

    ExplainHandler(final DecisionSource decisions) {
        mDecisions = decisions;
    }

    void explain(final HttpServerExchange exchange) {
        final String id = QueryParameters.text(exchange, "id");
        if (id.isEmpty()) {
            OperatorReplies.sendError(
                    exchange, StatusCodes.BAD_REQUEST, "operator.bad-parameter", "id", id);
            return;
        }
        OperatorReplies.sendWhenComplete(
                exchange,
                mDecisions.findDecisions(id),
                decisions -> sendDecisions(exchange, id, decisions));
    }

    private static void sendDecisions(
            final HttpServerExchange exchange, final String id, final List<Decision> decisions) {
        if (decisions.isEmpty()) {
            OperatorReplies.sendError(exchange, StatusCodes.NOT_FOUND, "operator.no-decisions", id);
            return;
        }
        final ObjectNode root = OperatorReplies.object().put("id", id);
        final ArrayNode array = root.putArray("decisions");
        for (final Decision decision : decisions) {
            final ObjectNode node = array.addObject();
            node.put("at", decision.at().toString());
            node.put("request", decision.request().value());
            node.put("attempt", decision.attempt());
            node.put("kind", decision.kind().name().toLowerCase().replace('_', '-'));
            decision.endpoint().ifPresent(endpoint -> node.put("endpoint", endpoint.value()));
            node.put("cause", decision.cause());
        }
        OperatorReplies.sendJson(exchange, StatusCodes.OK, root);
    }
}
