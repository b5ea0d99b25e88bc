package org.whinhead.routing;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.EndpointId;

/**
 * What an endpoint said of its load; old by the time it arrives.
 *
 * @param endpoint the endpoint
 * @param asOf when the endpoint measured it
 * @param running requests it works on
 * @param waiting requests that wait there
 * @param tokensPerSecond tokens it generates a second in all
 */
public record LoadReport(
        EndpointId endpoint, Instant asOf, int running, int waiting, double tokensPerSecond) {

    /** Checks every part. */
    public LoadReport {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(asOf, "asOf");
        Arguments.requireAtLeast(running, 0, "running");
        Arguments.requireAtLeast(waiting, 0, "waiting");
    }
}
