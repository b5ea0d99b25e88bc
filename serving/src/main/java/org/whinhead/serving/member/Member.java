package org.whinhead.serving.member;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A daemon as the others know it.
 *
 * @param name the daemon's name, which a restart keeps
 * @param incarnation names one process of the daemon
 * @param domain its failure domain
 * @param callerAddress where callers connect
 * @param peerAddress where other daemons send reports
 */
public record Member(
        String name,
        String incarnation,
        String domain,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress) {

    /** Checks the parts. */
    public Member {
        Arguments.requireText(name, "name");
        Arguments.requireText(incarnation, "incarnation");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
