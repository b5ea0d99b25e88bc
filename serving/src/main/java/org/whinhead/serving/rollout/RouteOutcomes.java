package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * One daemon's counts of a route's requests at one of the two versions since the order.
 *
 * @param route the route
 * @param canary whether the counts are of the new version, or of all others
 * @param sent the number of requests that were sent
 * @param failed the number of answers that the version failed
 * @param times the other answers by latency, see {@link LatencyHistogram}
 */
public record RouteOutcomes(
        String route, boolean canary, long sent, long failed, List<Long> times) {

    /** Checks the components. */
    public RouteOutcomes {
        Arguments.requireText(route, "route");
        Arguments.requireAtLeast(sent, 0, "sent");
        Arguments.requireAtLeast(failed, 0, "failed");
        times = List.copyOf(times);
    }

    /** Returns the number of answers, including failures. */
    long answers() {
        return failed + times.stream().mapToLong(Long::longValue).sum();
    }
}
