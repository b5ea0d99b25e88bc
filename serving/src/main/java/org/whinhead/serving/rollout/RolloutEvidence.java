package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What one daemon has seen of a roll-out since its order; each says all, so that one that is lost
 * is made up for by the next.
 *
 * @param service the service
 * @param order the offset of the order
 * @param daemon names the daemon's process
 * @param outcomes what became of the requests
 */
public record RolloutEvidence(
        String service, long order, String daemon, List<RouteOutcomes> outcomes) {

    /** Checks the parts. */
    public RolloutEvidence {
        Arguments.requireText(service, "service");
        Arguments.requireText(daemon, "daemon");
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Counts what the new version failed.
     *
     * @return the failures on all routes
     */
    public long canaryFailures() {
        return outcomes.stream()
                .filter(RouteOutcomes::canary)
                .mapToLong(RouteOutcomes::failed)
                .sum();
    }
}
