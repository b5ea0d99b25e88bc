package org.whinhead.admission.budget;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.TeamId;

/**
 * What a team may spend.
 *
 * @param team the team
 * @param tokensPerSecond generated tokens a second over all daemons
 */
public record TeamRate(TeamId team, long tokensPerSecond) {

    /** Checks both parts. */
    public TeamRate {
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(tokensPerSecond, 0, "tokensPerSecond");
    }
}
