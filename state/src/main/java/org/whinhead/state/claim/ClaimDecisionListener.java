package org.whinhead.state.claim;

import java.time.Instant;

/** Receives the decisions of a claim coordinator, exactly one for each attempt. */
@FunctionalInterface
public interface ClaimDecisionListener {

    /**
     * Handles the decision on a claim.
     *
     * @param key the claim key of the request
     * @param attempt the hash that identifies the attempt
     * @param result the decision
     * @param dispatchBy the time until which a granted attempt may be dispatched; only meaningful
     *     for a grant
     */
    void onDecision(ClaimKey key, long attempt, ClaimResult result, Instant dispatchBy);
}
