package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What became of a route's requests at one of the two versions since the order, by one daemon's
 * count.
 *
 * @param route the route
 * @param onTrial whether the new version is meant, or all others
 * @param sent requests that were sent there
 * @param failed answers that the version failed
 * @param times the other answers by time, see {@link LatencyHistogram}
 */
public record RouteOutcomes(
        String route, boolean canary, long sent, long failed, List<Long> times) {

    /** Checks the parts. */
    public RouteOutcomes {
        Arguments.requireText(route, "route");
        Arguments.requireAtLeast(sent, 0, "sent");
        Arguments.requireAtLeast(failed, 0, "failed");
        times = List.copyOf(times);
    }

    /** Counts the answers, failures included. */
    long answers() {
        return failed + times.stream().mapToLong(Long::longValue).sum();
    }
}
