package org.whinhead.serving.rollout;

import java.time.Duration;
import org.whinhead.api.Arguments;

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
}
