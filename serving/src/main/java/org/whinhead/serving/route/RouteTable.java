package org.whinhead.serving.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Finds the route of a request by its host and the longest matching prefix of its path. */
public final class RouteTable {

    /** By host and prefix; empty for a route that can't be used. */
    private final Map<String, Map<String, Optional<Route>>> mRoutes = new HashMap<>();

    /**
     * Creates a table of routes.
     *
     * @param routes the routes; of two with the same host and prefix the later one is used
     */
    public RouteTable(final Collection<Route> routes) {
        this(routes, List.of());
    }

    /**
     * Creates a table of routes.
     *
     * @param routes the routes; of two with the same host and prefix the later one is used
     * @param rejected the requests of routes that can't be used; no shorter prefix serves them
     */
    public RouteTable(final Collection<Route> routes, final Collection<RoutePattern> rejected) {
        for (final RoutePattern pattern : rejected) {
            prefixes(pattern.host()).put(pattern.pathPrefix(), Optional.empty());
        }
        for (final Route route : routes) {
            prefixes(route.host()).put(route.pathPrefix(), Optional.of(route));
        }
    }

    private Map<String, Optional<Route>> prefixes(final String host) {
        return mRoutes.computeIfAbsent(host, name -> new HashMap<>());
    }

    /**
     * Returns the route of a request.
     *
     * <p>Prefixes end with a slash, so only the parts of the path up to one of its slashes can
     * match: a lookup costs as many steps as the path has slashes, however many routes a host has.
     *
     * @param host the host that the caller names, with or without a port
     * @param path the path, without its query
     * @return the route with the longest prefix, if any
     */
    public Optional<Route> find(final String host, final String path) {
        return findLongest(host, path).flatMap(Function.identity());
    }

    /**
     * Returns whether a request belongs to a route that can't be used.
     *
     * @param host the host that the caller names, with or without a port
     * @param path the path, without its query
     * @return whether the route with the longest prefix is one that was rejected
     */
    public boolean isRejected(final String host, final String path) {
        return findLongest(host, path).filter(Optional::isEmpty).isPresent();
    }

    private Optional<Optional<Route>> findLongest(final String host, final String path) {
        final Map<String, Optional<Route>> routes =
                mRoutes.getOrDefault(normalizeHost(host), Map.of());
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            final Optional<Route> route = routes.get(path.substring(0, end + 1));
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
