package org.whinhead.admission.budget;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;

/**
 * A daemon's request for a portion; sent again with the same number until it is answered.
 *
 * @param daemon the daemon
 * @param team the team
 * @param number the number of the request, increasing for each daemon and team
 * @param least the minimum number of tokens for the portion to be of use
 * @param wanted the number of tokens that the daemon expects to spend, at least {@code least}
 */
public record PortionRequest(DaemonId daemon, TeamId team, long number, long least, long wanted) {

    /** Checks the components. */
    public PortionRequest {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(least, 0, "least");
        Arguments.requireAtLeast(wanted, least, "wanted");
    }
}
