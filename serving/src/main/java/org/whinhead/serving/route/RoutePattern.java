package org.whinhead.serving.route;

import java.util.Objects;

/**
 * The requests that a route is for.
 *
 * @param host the host, in lower case
 * @param pathPrefix the prefix of the path
 */
public record RoutePattern(String host, String pathPrefix) {

    /** Checks the components. */
    public RoutePattern {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
    }
}
