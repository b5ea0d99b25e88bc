package org.whinhead.serving.endpoint;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A record of the store that added, changed or removed an endpoint.
 *
 * @param id the endpoint
 * @param offset the record's offset in the store
 * @param entry the endpoint as it describes itself; empty if it was removed
 */
public record EndpointChange(String id, long offset, Optional<EndpointEntry> entry) {

    /** Checks the components. */
    public EndpointChange {
        Arguments.requireText(id, "id");
        Arguments.requireAtLeast(offset, 0, "offset");
        Objects.requireNonNull(entry, "entry");
    }
}
