package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The part of a route's requests that go to the new version while it is on trial.
 *
 * @param route the route
 * @param share the part, 0 to 1
 */
public record RouteShare(String route, double share) {

    /** Checks the parts. */
    public RouteShare {
        Arguments.requireText(route, "route");
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share of " + route + " is no part: " + share);
        }
    }

    /** Finds a route's share; the given one if the route has none of its own. */
    static double of(final List<RouteShare> routes, final String route, final double otherwise) {
        return routes.stream()
                .filter(share -> share.route().equals(route))
                .mapToDouble(RouteShare::share)
                .findFirst()
                .orElse(otherwise);
    }
}
