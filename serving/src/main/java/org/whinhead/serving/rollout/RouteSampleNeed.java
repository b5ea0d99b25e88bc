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
record RouteSampleNeed(String route, double trafficShare, double answers) {

    /** Requests that are split evenly at least: each route goes on to be watched. */
    private static final double MIN_SPLIT_REQUESTS = 10;

    /** The largest share of a route's requests that is put on trial. */
    private static final double MAX_ROUTE_SHARE = 0.6;

    /** Checks the parts. */
    RouteSampleNeed {
        Arguments.requireText(route, "route");
        if (!(trafficShare > 0 && trafficShare <= 1)) {
            throw new IllegalArgumentException("traffic of " + route + " no part: " + trafficShare);
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
            final List<RouteSampleNeed> needs, final double share, final double unsplit) {
        final double all =
                needs.stream().mapToDouble(need -> need.requestsBeforeTakeover(unsplit)).sum();
        final double traffic = needs.stream().mapToDouble(RouteSampleNeed::trafficShare).sum();
        return needs.stream()
                .map(
                        need ->
                                need.share(
                                        share
                                                * traffic
                                                * need.requestsBeforeTakeover(unsplit)
                                                / all))
                .toList();
    }

    private double requestsBeforeTakeover(final double unsplit) {
        return Math.max(answers - unsplit * trafficShare, MIN_SPLIT_REQUESTS * trafficShare);
    }

    private RouteShare share(final double partOfAll) {
        return new RouteShare(route, Math.min(partOfAll / trafficShare, MAX_ROUTE_SHARE));
    }
}
