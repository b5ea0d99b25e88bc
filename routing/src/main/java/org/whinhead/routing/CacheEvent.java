package org.whinhead.routing;

import java.util.Objects;
import org.whinhead.api.model.EndpointId;

/**
 * A change of an engine's prefix cache. Events arrive late and some are lost.
 *
 * @param endpoint the engine
 * @param kind the kind of change
 * @param prefixHash the hash of the prefix
 */
public record CacheEvent(EndpointId endpoint, Kind kind, long prefixHash) {

    /** Checks that the endpoint and the kind are present. */
    public CacheEvent {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(kind, "kind");
    }

    /** The kinds of change. */
    public enum Kind {
        /** The engine cached the prefix. */
        STORED,
        /** The engine evicted the prefix. */
        EVICTED
    }
}
