package org.whinhead.routing;

import java.util.Objects;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.FailureDomain;

/**
 * The failure domain of a daemon.
 *
 * @param id the daemon
 * @param domain the failure domain
 */
public record DaemonLocation(DaemonId id, FailureDomain domain) {

    /** Checks that both components are present. */
    public DaemonLocation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(domain, "domain");
    }
}
