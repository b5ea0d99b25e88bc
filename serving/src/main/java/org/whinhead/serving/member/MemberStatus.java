package org.whinhead.serving.member;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * What a daemon reports about itself.
 *
 * @param ready whether it accepts callers
 * @param leaving whether it is about to stop
 * @param cutOff whether it reaches the endpoints of some service only through other daemons
 * @param relayPort the port on which it relays connections to endpoints; empty if it doesn't
 */
public record MemberStatus(boolean ready, boolean leaving, boolean cutOff, OptionalInt relayPort) {

    /** A daemon that accepts callers, reaches the endpoints and relays no connections. */
    public static final MemberStatus READY =
            new MemberStatus(true, false, false, OptionalInt.empty());

    /** Checks that no component is null. */
    public MemberStatus {
        Objects.requireNonNull(relayPort, "relayPort");
    }

    /**
     * Returns this status of a daemon that is about to stop.
     *
     * @return the status
     */
    public MemberStatus asLeaving() {
        return new MemberStatus(ready, true, cutOff, relayPort);
    }

    boolean acceptsCallers() {
        return ready && !leaving;
    }

    boolean canRelay() {
        return relayPort.isPresent() && !leaving && !cutOff;
    }
}
