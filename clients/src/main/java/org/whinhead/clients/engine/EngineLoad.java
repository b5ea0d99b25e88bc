package org.whinhead.clients.engine;

import java.time.Instant;
import java.util.Objects;

/**
 * What an engine says of its load; old by the time it arrives.
 *
 * @param asOf when the engine measured it
 * @param running requests it works on
 * @param waiting requests that wait there
 * @param tokensPerSecond tokens it generates a second in all
 */
public record EngineLoad(Instant asOf, int running, int waiting, double tokensPerSecond) {

    /** Checks the time. */
    public EngineLoad {
        Objects.requireNonNull(asOf, "asOf");
    }
}
