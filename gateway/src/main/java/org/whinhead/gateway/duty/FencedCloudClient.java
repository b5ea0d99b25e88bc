package org.whinhead.gateway.duty;

import java.util.concurrent.CompletableFuture;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.duty.UsageDecision;

/** The platform's calls that one daemon makes for all. A future that fails may have been taken. */
public interface FencedCloudClient {

    /**
     * Reports the usage of a window.
     *
     * @param token the fencing token
     * @param decision the counts
     * @return whether the platform took it
     */
    CompletableFuture<Boolean> reportUsage(long token, UsageDecision decision);

    /**
     * Orders endpoints.
     *
     * @param token the fencing token
     * @param order the order
     * @return whether the platform took it
     */
    CompletableFuture<Boolean> order(long token, CapacityOrder order);
}
