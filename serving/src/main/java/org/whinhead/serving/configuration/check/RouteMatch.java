package org.whinhead.serving.configuration.check;

import org.whinhead.serving.route.Route;

/** The host and path prefix of a route as one text. */
final class RouteMatch {

    private RouteMatch() {}

    /** Returns the host and the path prefix; neither contains the separator in a match. */
    static String of(final Route route) {
        return route.host() + '\n' + route.pathPrefix();
    }
}
