package org.whinhead.routing;

import java.util.Objects;
import org.whinhead.api.model.EndpointId;

/**
 * What an engine said of its prefix cache; late, and some are missing.
 *
 * @param endpoint the engine
 * @param kind what happened to the prefix
 * @param prefixHash the prefix
 */
public record CacheEvent(EndpointId endpoint, Kind kind, long prefixHash) {

    /** Checks every part. */
    public CacheEvent {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(kind, "kind");
    }

    /** What happened to a prefix. */
    public enum Kind {
        /** The engine now holds it. */
        STORED,
        /** The engine dropped it. */
        EVICTED
    }
}
