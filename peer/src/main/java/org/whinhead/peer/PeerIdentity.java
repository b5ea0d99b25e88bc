package org.whinhead.peer;

import java.util.Objects;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;

/**
 * Who a daemon is among its peers.
 *
 * @param vm its VM, which its certificate names
 * @param daemon its incarnation
 */
public record PeerIdentity(VmId vm, DaemonId daemon) {

    /** Checks every part. */
    public PeerIdentity {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(daemon, "daemon");
    }
}
