package org.whinhead.clients.cloud;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.VmId;

/**
 * The cloud's notice that it takes a VM back.
 *
 * @param sequence its place in the order of notices
 * @param vm the VM
 * @param goneBy when the VM is gone
 */
public record ReclaimNotice(long sequence, VmId vm, Instant goneBy) {

    /** Checks every part. */
    public ReclaimNotice {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(goneBy, "goneBy");
    }
}
