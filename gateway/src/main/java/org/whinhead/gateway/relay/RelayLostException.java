package org.whinhead.gateway.relay;

import java.io.IOException;

/** Thrown if a relayed connection was lost between the daemons and not by the endpoint. */
public final class RelayLostException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param relay the name of the daemon that relayed the connection
     */
    public RelayLostException(final String relay) {
        super("connection to relay " + relay + " was lost");
    }
}
