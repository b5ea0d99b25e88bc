package org.whinhead.serving.member;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Identity and addresses of a daemon.
 *
 * @param name the daemon's name, which is the same after a restart
 * @param incarnation the id of one process of the daemon
 * @param domain the name of its failure domain
 * @param callerAddress the address to which callers connect
 * @param peerAddress the address to which other daemons send reports
 */
public record Member(
        String name,
        String incarnation,
        String domain,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress) {

    /** Checks the components. */
    public Member {
        Arguments.requireText(name, "name");
        Arguments.requireText(incarnation, "incarnation");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
