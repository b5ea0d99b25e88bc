package org.whinhead.membership;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.model.VmId;

/**
 * Some VMs are about to stop; a whole failure domain that is taken back is one notice.
 *
 * @param vms the VMs
 * @param goneBy when they are stopped at the latest
 */
public record LeavingNotice(Set<VmId> vms, Instant goneBy) {

    /** Checks every part and copies the set. */
    public LeavingNotice {
        vms = Set.copyOf(vms);
        Objects.requireNonNull(goneBy, "goneBy");
    }
}
