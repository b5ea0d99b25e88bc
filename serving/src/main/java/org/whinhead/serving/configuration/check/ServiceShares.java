package org.whinhead.serving.configuration.check;

import java.util.stream.Collectors;
import org.whinhead.serving.route.Route;

/** The services of a route as a text. */
final class ServiceShares {

    private ServiceShares() {}

    /** Returns the services with their weights, for example {@code pool 9, api 1}. */
    static String text(final Route route) {
        return route.services().stream()
                .map(service -> service.service() + " " + service.weight())
                .collect(Collectors.joining(", "));
    }
}
