package org.whinhead.gateway.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Written to a relayed connection to tell the relay that the endpoint has asked for a pause.
 *
 * @param length the length of the pause
 */
public record RelayPauseNotice(Duration length) {

    /** Checks the component. */
    public RelayPauseNotice {
        Objects.requireNonNull(length, "length");
    }
}
