package org.whinhead.requests;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;

/**
 * The state that a caller presents to continue its answer through any daemon.
 *
 * @param attempt the ID of the attempt that produces the answer
 * @param customer the customer that made the request; a ticket is valid for no other
 * @param endpoint the ID of the engine that holds the stream
 * @param streamId the stream's ID at the engine; empty if only the caller's text can be continued
 * @param indexOffset the answer index of the first token in the stream
 * @param idempotent whether the request may run more than once
 * @param deadline the time when the whole answer is due
 */
public record Ticket(
        AttemptId attempt,
        CustomerId customer,
        EndpointId endpoint,
        String streamId,
        long indexOffset,
        boolean idempotent,
        Instant deadline) {

    /** Validates the components. */
    public Ticket {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(streamId, "streamId");
        Objects.requireNonNull(deadline, "deadline");
    }
}
