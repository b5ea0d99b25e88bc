package org.whinhead.routing;

import java.util.Objects;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.FailureDomain;

/**
 * Where a daemon stands.
 *
 * @param id the daemon
 * @param domain its failure domain
 */
public record DaemonLocation(DaemonId id, FailureDomain domain) {

    /** Checks both parts. */
    public DaemonLocation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(domain, "domain");
    }
}
