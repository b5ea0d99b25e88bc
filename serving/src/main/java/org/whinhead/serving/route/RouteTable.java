package org.whinhead.serving.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: its host, and there the longest prefix of its path. */
public final class RouteTable {

    private final Map<String, Map<String, Route>> mRoutes = new HashMap<>();

    /**
     * Makes a table of routes.
     *
     * @param routes the routes; of two with the same host and prefix the later one stays
     */
    public RouteTable(final Collection<Route> routes) {
        for (final Route route : routes) {
            mRoutes.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Finds the route of a request.
     *
     * <p>Prefixes end with a slash, so only the path up to each of its slashes can be one: a
     * look-up costs as many steps as the path has slashes, however many routes a host has.
     *
     * @param host the host that the caller names, with or without a port
     * @param path the path, without its query
     * @return the route with the longest prefix, if any
     */
    public Optional<Route> find(final String host, final String path) {
        final Map<String, Route> routes = mRoutes.get(normalizeHost(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            final Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalizeHost(final String host) {
        final int port = host.indexOf(':');
        final String bare = port < 0 ? host : host.substring(0, port);
        return bare.toLowerCase(Locale.ROOT);
    }
}
