package org.whinhead.serving.quota;

import java.util.Objects;

/**
 * A holder's answer to an ask.
 *
 * @param id the ask's id
 * @param customer the customer
 * @param slot the slot of the share
 * @param outcome what became of it
 * @param level the tokens left in the share; negative if it is overdrawn
 */
public record TokenResponse(long id, String customer, int slot, Outcome outcome, long level) {

    /** Checks the parts. */
    public TokenResponse {
        Objects.requireNonNull(outcome, "outcome");
    }

    /** What became of an ask. */
    public enum Outcome {
        /** The tokens may be spent for a short while. */
        ISSUED,
        /** The share has too few. */
        TOO_FEW,
        /** The daemon doesn't hold the share, or doesn't know that it does. */
        NOT_HELD
    }
}
