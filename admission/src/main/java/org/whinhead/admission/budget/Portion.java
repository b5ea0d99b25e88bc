package org.whinhead.admission.budget;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.TeamId;

/**
 * A portion of a team's budget that a daemon may spend until it expires; the holder's answer to a
 * {@link PortionRequest}.
 *
 * @param team the team
 * @param number the number of the request
 * @param tokens the number of tokens; 0 if the budget is spent for now
 * @param expires the time when unspent tokens expire
 */
public record Portion(TeamId team, long number, long tokens, Instant expires) {

    /** Checks the components. */
    public Portion {
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(tokens, 0, "tokens");
        Objects.requireNonNull(expires, "expires");
    }
}
