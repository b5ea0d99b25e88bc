package org.whinhead.gateway.crash;

import java.time.Instant;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * One start of an endpoint, which may keep its id when it starts again.
 *
 * @param endpoint the endpoint's id
 * @param startedAt the time of its start, if known
 * @param version the version of its software, which changes with a start only
 */
record EndpointStart(String endpoint, Optional<Instant> startedAt, String version) {

    static EndpointStart of(final EndpointEntry entry) {
        return new EndpointStart(entry.id(), entry.startedAt(), entry.version());
    }
}
