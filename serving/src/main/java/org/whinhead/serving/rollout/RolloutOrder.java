package org.whinhead.serving.rollout;

import java.time.Duration;
import org.whinhead.api.Arguments;
import org.whinhead.serving.store.StorePosition;

/**
 * An operator's order to move a service to a version.
 *
 * @param service the service
 * @param version the version that its endpoints should have
 * @param timeBudget the longest time that the roll-out may take from the order on
 * @param offset the offset of the order in the store; a later order of the same service replaces it
 */
public record RolloutOrder(String service, String version, Duration timeBudget, long offset) {

    /** Checks the components. */
    public RolloutOrder {
        Arguments.requireText(service, "service");
        Arguments.requireText(version, "version");
        Arguments.requirePositive(timeBudget, "timeBudget");
        Arguments.requireAtLeast(offset, 0, "offset");
    }

    /**
     * Returns whether this order is a known one that was written again, after the store returned
     * from a copy without it.
     *
     * @param known the known order
     * @return whether the orders differ in the era of their offsets only
     */
    boolean isRewrittenFrom(final RolloutOrder known) {
        return StorePosition.isLaterEra(known.offset, offset)
                && service.equals(known.service)
                && version.equals(known.version)
                && timeBudget.equals(known.timeBudget);
    }
}
