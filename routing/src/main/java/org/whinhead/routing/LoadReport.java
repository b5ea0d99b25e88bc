package org.whinhead.routing;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.EndpointId;

/**
 * An endpoint's report of its load; already stale on arrival.
 *
 * @param endpoint the endpoint
 * @param asOf the time of the measurement by the endpoint's clock
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param tokensPerSecond the tokens per second generated for all requests
 */
public record LoadReport(
        EndpointId endpoint, Instant asOf, int running, int waiting, double tokensPerSecond) {

    /** Checks the components. */
    public LoadReport {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(asOf, "asOf");
        Arguments.requireAtLeast(running, 0, "running");
        Arguments.requireAtLeast(waiting, 0, "waiting");
    }
}
