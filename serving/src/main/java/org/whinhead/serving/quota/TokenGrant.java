package org.whinhead.serving.quota;

import java.util.Objects;

/**
 * Tokens that a request was admitted with.
 *
 * @param customer the customer
 * @param tokens how many
 * @param issuedAfter the tokens were issued no earlier
 */
public record TokenGrant(String customer, long tokens, ClockReading issuedAfter) {

    /** Checks the parts. */
    public TokenGrant {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(issuedAfter, "issuedAfter");
    }
}
