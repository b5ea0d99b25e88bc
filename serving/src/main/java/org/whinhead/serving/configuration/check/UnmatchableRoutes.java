package org.whinhead.serving.configuration.check;

import org.whinhead.serving.route.Route;

/** Finds routes whose host or path prefix no request can have. */
final class UnmatchableRoutes implements ConfigurationRule {

    private static final String SLASH = "/";

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<Route> route : configuration.routes()) {
            final String host = route.value().host();
            if (host.chars().anyMatch(UnmatchableRoutes::isOutsideHost)) {
                findings.warn(route.field(EntryField.HOST), "route-host", host);
            }
            final String prefix = route.value().pathPrefix();
            if (!prefix.startsWith(SLASH) || !prefix.endsWith(SLASH)) {
                findings.warn(route.field(EntryField.PATH_PREFIX), "route-prefix", prefix);
            } else if (prefix.chars().anyMatch(UnmatchableRoutes::isOutsidePath)) {
                findings.warn(route.field(EntryField.PATH_PREFIX), "route-characters", prefix);
            }
        }
    }

    /** Returns whether a host without its port never contains a character. */
    private static boolean isOutsideHost(final int character) {
        return ":/*?# ".indexOf(character) >= 0;
    }

    /** Returns whether a path without its query never contains a character. */
    private static boolean isOutsidePath(final int character) {
        return "?# ".indexOf(character) >= 0;
    }
}
