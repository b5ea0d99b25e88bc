package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The number of further answers that a route needs to show whether the new version is good there.
 *
 * @param route the route
 * @param trafficShare the share of the service's requests that use the route, above 0 and up to 1
 * @param answers the number of needed answers in addition to those received or pending
 */
record RouteSampleNeed(String route, double trafficShare, double answers) {

    /** The number of requests that are split evenly, so that every route stays monitored. */
    private static final double MIN_SPLIT_REQUESTS = 10;

    /** The largest share of a route's requests that the new version receives. */
    private static final double MAX_ROUTE_SHARE = 0.6;

    /** Checks the components. */
    RouteSampleNeed {
        Arguments.requireText(route, "route");
        if (!(trafficShare > 0 && trafficShare <= 1)) {
            throw new IllegalArgumentException(
                    "traffic share of "
                            + route
                            + " must be above 0 and at most 1: "
                            + trafficShare);
        }
    }

    /**
     * Splits a share of all requests over the routes in proportion to their needs.
     *
     * @param needs the needs of the routes
     * @param share the share of all requests that the new version receives, 0 to 1
     * @param takeoverRequests the number of requests that the new version receives in the takeover,
     *     which are not split by need
     * @return a share for each of the routes
     */
    static List<RouteShare> split(
            final List<RouteSampleNeed> needs, final double share, final double takeoverRequests) {
        final double allRequests =
                needs.stream()
                        .mapToDouble(need -> need.requestsBeforeTakeover(takeoverRequests))
                        .sum();
        final double traffic = needs.stream().mapToDouble(RouteSampleNeed::trafficShare).sum();
        return needs.stream()
                .map(
                        need ->
                                need.share(
                                        share
                                                * traffic
                                                * need.requestsBeforeTakeover(takeoverRequests)
                                                / allRequests))
                .toList();
    }

    private double requestsBeforeTakeover(final double takeoverRequests) {
        return Math.max(
                answers - takeoverRequests * trafficShare, MIN_SPLIT_REQUESTS * trafficShare);
    }

    private RouteShare share(final double shareOfAll) {
        return new RouteShare(route, Math.min(shareOfAll / trafficShare, MAX_ROUTE_SHARE));
    }
}
