package org.whinhead.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A stopped run that can be gone on with once.
 *
 * @param source the endpoint that worked on it
 * @param handle what the source calls it
 */
public record MovedRun(InetSocketAddress source, String handle) {

    /** Checks the parts. */
    public MovedRun {
        Objects.requireNonNull(source, "source");
        Arguments.requireText(handle, "handle");
    }
}
