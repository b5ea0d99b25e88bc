package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * What is asked of an endpoint besides the caller's own words.
 *
 * @param endpoint the endpoint that the request is meant for
 * @param customer the customer that holds the caller's key, if keys are needed
 * @param timeLeft how long the caller still waits
 * @param priority the rank of the request, 0 first
 * @param resumeAfter the event after which a stream goes on, if it was broken off
 * @param promptSource the endpoint from which to copy shared parts of the prompt
 * @param continued the stopped run whose memory the endpoint has, if it goes on with one
 */
public record AttemptContext(
        EndpointEntry endpoint,
        Optional<String> customer,
        Duration timeLeft,
        int priority,
        Optional<String> resumeAfter,
        Optional<EndpointEntry> promptSource,
        Optional<MovedRun> continuedRun) {

    /** Checks the parts. */
    public AttemptContext {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(timeLeft, "timeLeft");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        Objects.requireNonNull(promptSource, "promptSource");
        Objects.requireNonNull(continuedRun, "continued");
    }
}
