package org.whinhead.peer;

import java.util.Objects;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;

/**
 * The identity of a daemon among its peers.
 *
 * @param vm the daemon's VM, which its certificate must contain
 * @param daemon the daemon's ID, which identifies one incarnation
 */
public record PeerIdentity(VmId vm, DaemonId daemon) {

    /** Validates all components. */
    public PeerIdentity {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(daemon, "daemon");
    }
}
