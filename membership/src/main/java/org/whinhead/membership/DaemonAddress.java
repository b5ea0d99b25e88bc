package org.whinhead.membership;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.VmId;

/**
 * Where another daemon listens for its peers.
 *
 * @param vm the VM that the daemon runs on, which its certificate must name
 * @param host the IP address
 * @param port the TCP port
 */
public record DaemonAddress(VmId vm, String host, int port) {

    /** Checks every part. */
    public DaemonAddress {
        Objects.requireNonNull(vm, "vm");
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(port, 1, "port");
    }
}
