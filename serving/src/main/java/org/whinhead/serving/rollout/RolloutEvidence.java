package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The outcomes of requests that one daemon has counted since the order of a roll-out. Each report
 * holds all counts, so that the next one replaces a lost one.
 *
 * @param service the service
 * @param order the offset of the order
 * @param daemon the name of the daemon's process
 * @param outcomes the outcomes of the requests
 */
public record RolloutEvidence(
        String service, long order, String daemon, List<RouteOutcomes> outcomes) {

    /** Checks the components. */
    public RolloutEvidence {
        Arguments.requireText(service, "service");
        Arguments.requireText(daemon, "daemon");
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Returns the number of requests that the new version failed.
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
