package org.whinhead.serving.quota;

import java.util.Objects;

/**
 * A holder's response to a {@link TokenRequest}.
 *
 * @param id the id of the request
 * @param customer the customer's name
 * @param slot the slot of the share
 * @param outcome the outcome of the request
 * @param level the tokens left in the share; negative if it is overdrawn
 * @param gainPerSecond the fastest rise of the level within the next second, in tokens per second
 */
public record TokenResponse(
        long id, String customer, int slot, Outcome outcome, long level, long gainPerSecond) {

    /** Checks the components. */
    public TokenResponse {
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Outcome of a request. */
    public enum Outcome {
        /** The tokens were issued and may be spent until they expire. */
        ISSUED,
        /** The share has too few tokens. */
        TOO_FEW,
        /** The daemon doesn't hold the share, or doesn't know that it holds it. */
        NOT_HELD
    }
}
