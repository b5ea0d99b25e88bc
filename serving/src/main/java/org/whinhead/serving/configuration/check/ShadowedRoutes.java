package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.Map;
import org.whinhead.serving.route.Route;

/** Finds routes that never match since a later one has the same host and path prefix. */
final class ShadowedRoutes implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        final Map<String, Located<Route>> last = new HashMap<>();
        for (final Located<Route> route : configuration.routes()) {
            final Located<Route> earlier = last.put(RouteMatch.of(route.value()), route);
            if (earlier != null) {
                findings.warn(
                        earlier.path().text(),
                        "route-shadowed",
                        earlier.value().name(),
                        route.value().name(),
                        route.path().text());
            }
        }
    }
}
