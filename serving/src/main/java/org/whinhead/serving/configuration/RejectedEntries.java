package org.whinhead.serving.configuration;

import java.util.List;
import java.util.Set;
import org.whinhead.serving.route.RoutePattern;

/**
 * The entries of a configuration that can't be used, and what is known of the requests they are
 * for: these are refused for a time and not for good, as the next version may serve them.
 *
 * @param entries the entries, in the order of the configuration
 * @param routes the requests of rejected routes
 * @param keys the keys of rejected customers
 * @param customers whether a customer was rejected, so that requests need a key
 */
public record RejectedEntries(
        List<RejectedEntry> entries,
        List<RoutePattern> routes,
        Set<String> keys,
        boolean customers) {

    /** A configuration of which every entry is used. */
    public static final RejectedEntries NONE =
            new RejectedEntries(List.of(), List.of(), Set.of(), false);

    /** Copies the components. */
    public RejectedEntries {
        entries = List.copyOf(entries);
        routes = List.copyOf(routes);
        keys = Set.copyOf(keys);
    }
}
