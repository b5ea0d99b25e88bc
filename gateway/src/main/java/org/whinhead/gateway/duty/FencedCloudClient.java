package org.whinhead.gateway.duty;

import java.util.concurrent.CompletableFuture;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.duty.UsageDecision;

/**
 * The platform calls that only the lease holder makes, each with its fencing token. A call whose
 * future fails may still have been accepted.
 */
public interface FencedCloudClient {

    /**
     * Reports the usage of a window.
     *
     * @param token the fencing token
     * @param decision the window and its request counts by customer
     * @return whether the platform has accepted the report
     */
    CompletableFuture<Boolean> reportUsage(long token, UsageDecision decision);

    /**
     * Orders endpoints.
     *
     * @param token the fencing token
     * @param order the order
     * @return whether the platform has accepted the order
     */
    CompletableFuture<Boolean> order(long token, CapacityOrder order);
}
