package org.whinhead.state.claim;

import java.time.Instant;

/** Told the decisions of a claim desk, each attempt exactly once. */
@FunctionalInterface
public interface ClaimActions {

    /**
     * A claim was decided.
     *
     * @param key the key
     * @param attempt the attempt
     * @param result the decision
     * @param dispatchBy until when a granted attempt may be dispatched
     */
    void decided(ClaimKey key, long attempt, ClaimResult result, Instant dispatchBy);
}
