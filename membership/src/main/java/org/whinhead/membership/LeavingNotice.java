package org.whinhead.membership;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.model.VmId;

/**
 * A notice that VMs are about to stop; a failure domain that is reclaimed as a whole is one notice.
 *
 * @param vms the VMs
 * @param goneBy the latest time at which the VMs stop
 */
public record LeavingNotice(Set<VmId> vms, Instant goneBy) {

    /** Validates all components and copies the set. */
    public LeavingNotice {
        vms = Set.copyOf(vms);
        Objects.requireNonNull(goneBy, "goneBy");
    }
}
