package org.whinhead.clients.vms;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * A snapshot of the VM list.
 *
 * @param asOf the time of the snapshot
 * @param vms the listed VMs
 */
public record VmListing(Instant asOf, List<ListedVm> vms) {

    /** Validates the time and copies the list. */
    public VmListing {
        Objects.requireNonNull(asOf, "asOf");
        vms = List.copyOf(vms);
    }
}
