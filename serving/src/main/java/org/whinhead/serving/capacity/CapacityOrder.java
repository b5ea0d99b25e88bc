package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/**
 * An order for a number of endpoints.
 *
 * @param service the service
 * @param domain the failure domain
 * @param reclaimable whether the endpoints may be reclaimed on short notice
 * @param count the total number of endpoints of that kind that there should be
 */
public record CapacityOrder(String service, String domain, boolean reclaimable, int count) {

    /** Checks the components. */
    public CapacityOrder {
        Arguments.requireText(service, "service");
        Arguments.requireText(domain, "domain");
        Arguments.requireAtLeast(count, 0, "count");
    }
}
