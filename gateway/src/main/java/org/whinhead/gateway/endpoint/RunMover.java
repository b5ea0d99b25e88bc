package org.whinhead.gateway.endpoint;

import java.util.concurrent.CompletableFuture;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Moves a run's KV cache from a leaving endpoint to another one. */
public interface RunMover {

    /**
     * Stops a run and copies its KV cache to the target.
     *
     * @param source the endpoint at which the run is in progress
     * @param requestId the id of the request
     * @param target the endpoint that shall continue the run
     * @return the outcome; if the future fails, it is unknown whether the run was stopped
     */
    CompletableFuture<MoveOutcome> move(
            EndpointEntry source, String requestId, EndpointEntry target);
}
