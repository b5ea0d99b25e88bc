package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What a route still needs to show whether the new version is good there.
 *
 * @param route the route
 * @param trafficPart the part of the service's requests that take it
 * @param answers the answers that it needs beside those that it has or waits for
 */
record RouteNeed(String route, double trafficPart, double answers) {

    /** Requests that are split evenly at least: each route goes on to be watched. */
    private static final double LEAST_SPLIT = 10;

    /** The largest share of a route's requests that is put on trial. */
    private static final double MOST_SHARE = 0.6;

    /** Checks the parts. */
    RouteNeed {
        Arguments.requireText(route, "route");
        if (!(trafficPart > 0 && trafficPart <= 1)) {
            throw new IllegalArgumentException("traffic of " + route + " no part: " + trafficPart);
        }
    }

    /**
     * Splits a share of all requests by what the routes need.
     *
     * @param needs the needs of the routes
     * @param share the share of all requests that the new version gets
     * @param unsplit requests that the new version gets later, the same part of each route's
     * @return a share for each of the routes
     */
    static List<RouteShare> split(
            final List<RouteNeed> needs, final double share, final double unsplit) {
        final double all = needs.stream().mapToDouble(need -> need.wanted(unsplit)).sum();
        final double traffic = needs.stream().mapToDouble(RouteNeed::trafficPart).sum();
        return needs.stream()
                .map(need -> need.share(share * traffic * need.wanted(unsplit) / all))
                .toList();
    }

    private double wanted(final double unsplit) {
        return Math.max(answers - unsplit * trafficPart, LEAST_SPLIT * trafficPart);
    }

    private RouteShare share(final double partOfAll) {
        return new RouteShare(route, Math.min(partOfAll / trafficPart, MOST_SHARE));
    }
}
