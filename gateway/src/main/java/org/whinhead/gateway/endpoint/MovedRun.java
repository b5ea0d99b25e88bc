package org.whinhead.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A stopped run, which can be continued once.
 *
 * @param source the address of the endpoint that stopped the run
 * @param handle the source's identifier of the run
 */
public record MovedRun(InetSocketAddress source, String handle) {

    /** Checks the components. */
    public MovedRun {
        Objects.requireNonNull(source, "source");
        Arguments.requireText(handle, "handle");
    }
}
