package org.whinhead.serving.stream;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Where a stream began. Events of two versions of a service don't fit together, so a stream
 * continues only at endpoints of the same service and version.
 *
 * @param service the service of the endpoint that sent the first event
 * @param version the version of its software; empty if its entry names none
 */
public record StreamOrigin(String service, String version) {

    /** Checks the components. */
    public StreamOrigin {
        Arguments.requireText(service, "service");
        Objects.requireNonNull(version, "version");
    }

    /**
     * Returns the origin of a stream that begins at an endpoint.
     *
     * @param endpoint the endpoint that sends the first event
     * @return the origin
     */
    public static StreamOrigin of(final EndpointEntry endpoint) {
        return new StreamOrigin(endpoint.service(), endpoint.version());
    }

    /**
     * Returns whether the stream may continue at an endpoint.
     *
     * @param endpoint an endpoint of any service
     * @return true if the endpoint has the same service and version
     */
    public boolean matches(final EndpointEntry endpoint) {
        return service.equals(endpoint.service()) && version.equals(endpoint.version());
    }
}
