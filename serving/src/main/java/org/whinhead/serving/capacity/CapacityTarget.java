package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/**
 * The endpoints that a service keeps in each failure domain.
 *
 * @param onDemand endpoints that are not taken back
 * @param reclaimable endpoints that may be taken back
 */
public record CapacityTarget(int onDemand, int reclaimable) {

    /** Checks the parts. */
    public CapacityTarget {
        Arguments.requireAtLeast(onDemand, 0, "onDemand");
        Arguments.requireAtLeast(reclaimable, 0, "reclaimable");
    }
}
