package org.whinhead.serving.route;

import org.whinhead.api.Arguments;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service the service's name
 * @param weight its share, relative to the route's other services, at least 0
 */
public record WeightedService(String service, int weight) {

    /** Checks the components. */
    public WeightedService {
        Arguments.requireText(service, "service");
        Arguments.requireAtLeast(weight, 0, "weight");
    }
}
