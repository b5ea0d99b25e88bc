package org.whinhead.gateway.endpoint;

import java.util.concurrent.CompletableFuture;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Moves the memory of a run from a leaving endpoint to another one. */
public interface RunMover {

    /**
     * Stops a run and copies its memory.
     *
     * @param source the endpoint that works on it
     * @param requestId the request
     * @param target the endpoint that is to go on with it
     * @return what became of it; a failed future leaves open whether the run was stopped
     */
    CompletableFuture<MoveOutcome> move(
            EndpointEntry source, String requestId, EndpointEntry target);
}
