package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * The parameters of one attempt at an endpoint, in addition to the caller's request.
 *
 * @param endpoint the endpoint to which the request is sent
 * @param customer the customer that holds the caller's key; empty if no key is needed
 * @param timeLeft the time until the caller's deadline
 * @param priority the priority of the request; 0 is served first
 * @param resumeAfter the id of the event after which a broken stream resumes
 * @param promptSource the endpoint from which to copy cached parts of the prompt, if any
 * @param continuedRun the stopped run that the endpoint continues from its copied KV cache, if any
 */
public record AttemptContext(
        EndpointEntry endpoint,
        Optional<String> customer,
        Duration timeLeft,
        int priority,
        Optional<String> resumeAfter,
        Optional<EndpointEntry> promptSource,
        Optional<MovedRun> continuedRun) {

    /** Checks that no component is null. */
    public AttemptContext {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(timeLeft, "timeLeft");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        Objects.requireNonNull(promptSource, "promptSource");
        Objects.requireNonNull(continuedRun, "continuedRun");
    }
}
