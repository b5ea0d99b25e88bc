package org.whinhead.requests;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;

/**
 * Where an answer is being made, carried by the caller so that any daemon can go on with it.
 *
 * @param attempt the attempt that the answer comes from
 * @param customer who asked; a ticket is good for nobody else
 * @param endpoint the engine that holds the stream
 * @param streamId the engine's name for the stream; empty if only the caller's text is left
 * @param indexOffset the first index of the answer that the stream holds
 * @param idempotent whether the request may run more than once
 * @param deadline when the whole answer is due
 */
public record Ticket(
        AttemptId attempt,
        CustomerId customer,
        EndpointId endpoint,
        String streamId,
        long indexOffset,
        boolean idempotent,
        Instant deadline) {

    /** Checks every part. */
    public Ticket {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(streamId, "streamId");
        Objects.requireNonNull(deadline, "deadline");
    }
}
