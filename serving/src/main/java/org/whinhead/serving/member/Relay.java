package org.whinhead.serving.member;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A daemon that relays connections to endpoints for others.
 *
 * @param daemon the daemon's name
 * @param domain the name of its failure domain
 * @param address the address on which it accepts connections to relay
 */
public record Relay(String daemon, String domain, InetSocketAddress address) {

    /** Checks the components. */
    public Relay {
        Arguments.requireText(daemon, "daemon");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(address, "address");
    }
}
