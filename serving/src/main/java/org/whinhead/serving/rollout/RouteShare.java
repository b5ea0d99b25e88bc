package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The share of a route's requests that the new version receives as a canary.
 *
 * @param route the route
 * @param share the share, 0 to 1
 */
public record RouteShare(String route, double share) {

    /** Checks the components. */
    public RouteShare {
        Arguments.requireText(route, "route");
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "share of " + route + " is not from 0 to 1: " + share);
        }
    }

    /** Returns a route's share, or the given default if the route has none of its own. */
    static double of(final List<RouteShare> routes, final String route, final double defaultShare) {
        return routes.stream()
                .filter(share -> share.route().equals(route))
                .mapToDouble(RouteShare::share)
                .findFirst()
                .orElse(defaultShare);
    }
}
