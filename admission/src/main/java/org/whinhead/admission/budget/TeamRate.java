package org.whinhead.admission.budget;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.TeamId;

/**
 * The rate limit of a team.
 *
 * @param team the team
 * @param tokensPerSecond the generated tokens per second over all daemons
 */
public record TeamRate(TeamId team, long tokensPerSecond) {

    /** Checks both components. */
    public TeamRate {
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(tokensPerSecond, 0, "tokensPerSecond");
    }
}
