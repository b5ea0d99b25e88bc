package org.whinhead.daemon.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.whinhead.requests.Decision;

/** Finds the recorded decisions about a request. */
@FunctionalInterface
public interface DecisionSource {

    /**
     * Finds decisions on the decision thread.
     *
     * @param id the request's identity, with or without the prefix of customer and service
     * @return the decisions, oldest first; completed on any thread
     */
    CompletionStage<List<Decision>> findDecisions(String id);
}
