package org.whinhead.clients.vms;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * The VM list as of some time.
 *
 * @param asOf what time it shows
 * @param vms the VMs
 */
public record VmListing(Instant asOf, List<ListedVm> vms) {

    /** Checks the time and copies the list. */
    public VmListing {
        Objects.requireNonNull(asOf, "asOf");
        vms = List.copyOf(vms);
    }
}
