package org.whinhead.membership;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.model.Endpoint;

/**
 * The platform's VM list at one time; it may lag behind the actual VMs.
 *
 * @param asOf the time that the list describes
 * @param daemons the VMs that run daemons, live or leaving
 * @param endpoints the endpoints, on live or leaving VMs
 */
public record VmListSnapshot(Instant asOf, List<DaemonMember> daemons, List<Endpoint> endpoints) {

    /** Validates all components and copies the lists. */
    public VmListSnapshot {
        Objects.requireNonNull(asOf, "asOf");
        daemons = List.copyOf(daemons);
        endpoints = List.copyOf(endpoints);
    }
}
