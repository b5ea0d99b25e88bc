package org.whinhead.membership;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.VmId;

/**
 * The address on which a daemon listens for its peers.
 *
 * @param vm the VM that the daemon runs on; the daemon's certificate must contain its identity
 * @param host the IP address
 * @param port the TCP port
 */
public record DaemonAddress(VmId vm, String host, int port) {

    /** Validates all components. */
    public DaemonAddress {
        Objects.requireNonNull(vm, "vm");
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(port, 1, "port");
    }
}
