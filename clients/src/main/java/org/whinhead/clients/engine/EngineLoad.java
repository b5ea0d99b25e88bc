package org.whinhead.clients.engine;

import java.time.Instant;
import java.util.Objects;

/**
 * The load reported by an engine. The values are out of date when they arrive.
 *
 * @param asOf the time of the measurement
 * @param running the number of requests in progress
 * @param waiting the number of queued requests
 * @param tokensPerSecond the generation rate over all requests, in tokens per second
 */
public record EngineLoad(Instant asOf, int running, int waiting, double tokensPerSecond) {

    /** Validates the time. */
    public EngineLoad {
        Objects.requireNonNull(asOf, "asOf");
    }
}
