package org.whinhead.daemon.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.whinhead.requests.Decision;

/** Finds the decisions that are kept about a request. */
@FunctionalInterface
public interface DecisionSource {

    /**
     * Asks the decision thread.
     *
     * @param id the request's identity, with or without the customer and service before it
     * @return the decisions, oldest first, on any thread
     */
    CompletionStage<List<Decision>> findDecisions(String id);
}
