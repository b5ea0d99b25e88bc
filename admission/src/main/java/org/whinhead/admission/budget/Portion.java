package org.whinhead.admission.budget;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.TeamId;

/**
 * A holder's answer: tokens that a daemon may spend until they expire.
 *
 * @param team whose budget
 * @param number the number of the question
 * @param tokens how many; 0 if the budget is spent for now
 * @param expires when what is left lapses
 */
public record Portion(TeamId team, long number, long tokens, Instant expires) {

    /** Checks every part. */
    public Portion {
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(tokens, 0, "tokens");
        Objects.requireNonNull(expires, "expires");
    }
}
