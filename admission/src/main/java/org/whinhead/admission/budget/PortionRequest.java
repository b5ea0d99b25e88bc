package org.whinhead.admission.budget;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;

/**
 * A daemon's question for a portion; asked again under the same number until it is answered.
 *
 * @param daemon who asks
 * @param team whose budget
 * @param number the question's number, rising for each daemon and team
 * @param least tokens without which the portion is of no use
 * @param wanted tokens that it expects to spend
 */
public record PortionRequest(DaemonId daemon, TeamId team, long number, long least, long wanted) {

    /** Checks every part. */
    public PortionRequest {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(team, "team");
        Arguments.requireAtLeast(least, 0, "least");
        Arguments.requireAtLeast(wanted, least, "wanted");
    }
}
