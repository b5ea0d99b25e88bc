package org.whinhead.serving.quota;

import java.util.Objects;

/**
 * Tokens granted to an admitted request.
 *
 * @param customer the customer's name
 * @param tokens the number of tokens
 * @param issuedAfter a time before which none of the tokens was issued
 */
public record TokenGrant(String customer, long tokens, ClockReading issuedAfter) {

    /** Checks the components. */
    public TokenGrant {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(issuedAfter, "issuedAfter");
    }
}
