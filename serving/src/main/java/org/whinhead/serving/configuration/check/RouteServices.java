package org.whinhead.serving.configuration.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.WeightedService;

/** Finds routes to services that do not exist, and services that no route uses. */
final class RouteServices implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        final Set<String> declared = new HashSet<>();
        configuration.services().forEach(service -> declared.add(service.value().name()));
        final Set<String> used = new HashSet<>();
        for (final Located<Route> route : configuration.routes()) {
            final List<WeightedService> services = route.value().services();
            for (int i = 0; i < services.size(); i++) {
                final String name = services.get(i).service();
                used.add(name);
                if (!declared.contains(name)) {
                    findings.warn(
                            route.path().element(EntryField.SERVICES, i),
                            "route-service",
                            route.value().name(),
                            name);
                }
            }
        }
        configuration.services().stream()
                .filter(service -> !used.contains(service.value().name()))
                .forEach(
                        service ->
                                findings.warn(
                                        service.path().text(),
                                        "service-unused",
                                        service.value().name()));
    }

    @Override
    public boolean needsAllEntries() {
        return true;
    }
}
