package org.whinhead.state.claim;

import java.time.Instant;

/** Told the decisions of a claim desk, each attempt exactly once. */
@FunctionalInterface
public interface ClaimDecisionListener {

    /**
     * A claim was decided.
     *
     * @param key the key
     * @param attempt the attempt
     * @param result the decision
     * @param dispatchBy until when a granted attempt may be dispatched
     */
    void onDecision(ClaimKey key, long attempt, ClaimResult result, Instant dispatchBy);
}
