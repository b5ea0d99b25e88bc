package org.whinhead.settings.daemon;

import java.util.Objects;

/**
 * The addresses that a daemon listens on, one for each kind of client.
 *
 * @param callers the address for HTTP requests of callers
 * @param operators the address for HTTP requests of operators, health checks and metrics
 * @param peers the address for the protocol between daemons
 */
public record ListenAddresses(HostPort callers, HostPort operators, HostPort peers) {

    /** Validates the components. */
    public ListenAddresses {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(peers, "peers");
    }
}
