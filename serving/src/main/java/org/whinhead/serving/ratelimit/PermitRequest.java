package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * A request to the owner of an endpoint's limit for the permission to send the endpoint a request.
 *
 * @param claimant the address of the daemon that sends the request to the endpoint
 * @param id the id, unique within a start of the claimant
 * @param statement what the claimant knows of the limit
 * @param maxWait the longest time until the request may be sent
 * @param isForwarded whether another daemon has passed it on; it isn't passed on again
 */
public record PermitRequest(
        InetSocketAddress claimant,
        long id,
        LimitStatement statement,
        Duration maxWait,
        boolean isForwarded) {

    /** Checks the components. */
    public PermitRequest {
        Objects.requireNonNull(claimant, "claimant");
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(maxWait, "maxWait");
    }

    String endpoint() {
        return statement.endpoint();
    }
}
