package org.whinhead.settings.daemon;

import java.util.Objects;

/**
 * The addresses that a daemon listens on, one for each kind of client.
 *
 * @param callers HTTP for callers
 * @param operators HTTP for operators, health and metrics
 * @param peers the daemons' own protocol
 */
public record ListenAddresses(HostPort callers, HostPort operators, HostPort peers) {

    /** Checks every part. */
    public ListenAddresses {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(peers, "peers");
    }
}
