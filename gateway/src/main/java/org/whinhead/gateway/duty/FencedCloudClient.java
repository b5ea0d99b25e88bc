package org.whinhead.gateway.duty;

import java.util.concurrent.CompletableFuture;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.duty.UsageDecision;

/**
 * The platform calls that only the lease holder makes. A call that fails may have been accepted.
 */
public interface FencedCloudClient {

    /**
     * Reports the usage of a window.
     *
     * @param token the fencing token
     * @param decision the counts
     * @return whether the platform has accepted it
     */
    CompletableFuture<Boolean> reportUsage(long token, UsageDecision decision);

    /**
     * Orders endpoints.
     *
     * @param token the fencing token
     * @param order the order
     * @return what the platform says of it
     */
    CompletableFuture<OrderAnswer> order(long token, CapacityOrder order);
}
