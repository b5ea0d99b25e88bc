package org.whinhead.serving.quota;

import java.time.Duration;

/** Hears what becomes of a claim, once. */
public interface TokenClaimListener {

    /**
     * The customer has the tokens.
     *
     * @param spend the tokens, to be spent at once
     */
    void granted(TokenGrant spend);

    /**
     * The customer has spent what it may.
     *
     * @param comeBackAfter when it may have enough again
     */
    void overAllowance(Duration comeBackAfter);

    /**
     * What the customer may spend can't be found out.
     *
     * @param comeBackAfter when another try is worth it
     */
    void unavailable(Duration comeBackAfter);
}
