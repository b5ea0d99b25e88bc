package org.whinhead.clients.cloud;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.VmId;

/**
 * A notice that the cloud reclaims a VM.
 *
 * @param sequence the sequence number of the notice
 * @param vm the VM to be reclaimed
 * @param goneBy the time by which the VM is gone
 */
public record ReclaimNotice(long sequence, VmId vm, Instant goneBy) {

    /** Validates that no component is null. */
    public ReclaimNotice {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(goneBy, "goneBy");
    }
}
