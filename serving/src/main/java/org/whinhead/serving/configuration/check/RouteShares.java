package org.whinhead.serving.configuration.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.WeightedService;

/** Finds routes whose shares between services contradict each other. */
final class RouteShares implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<Route> route : configuration.routes()) {
            final List<WeightedService> services = route.value().services();
            final long total = services.stream().mapToLong(WeightedService::weight).sum();
            if (total > Integer.MAX_VALUE) {
                findings.warn(
                        route.field(EntryField.SERVICES), "shares-overflow", Integer.MAX_VALUE);
            } else if (total == 0) {
                findings.warn(
                        route.field(EntryField.SERVICES), "shares-zero", services.get(0).service());
            }
            warnOfRepeated(route, findings);
        }
    }

    private static void warnOfRepeated(final Located<Route> route, final Findings findings) {
        final List<WeightedService> services = route.value().services();
        final Set<String> names = new HashSet<>();
        for (int i = 0; i < services.size(); i++) {
            if (!names.add(services.get(i).service())) {
                findings.warn(
                        route.path().element(EntryField.SERVICES, i),
                        "shares-repeated",
                        services.get(i).service());
            }
        }
    }
}
