package org.whinhead.serving.quota;

import java.time.Duration;

/** Receives the outcome of a claim by one call of one method. */
public interface TokenClaimListener {

    /**
     * Called when the tokens are granted.
     *
     * @param grant the tokens, to be spent at once
     */
    void granted(TokenGrant grant);

    /**
     * Called when the customer is over its allowance.
     *
     * @param retryAfter the time until it may have enough tokens
     */
    void overAllowance(Duration retryAfter);

    /**
     * Called when the customer's remaining allowance can't be determined.
     *
     * @param retryAfter the time until a retry may succeed
     */
    void unavailable(Duration retryAfter);
}
