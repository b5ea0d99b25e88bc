package org.whinhead.serving.crash;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * An endpoint that has crashed, and the requests of one daemon that were in progress on it.
 *
 * @param endpoint the endpoint's id
 * @param requests the requests
 */
public record EndpointCrash(String endpoint, List<Request> requests) {

    /** Checks the components. */
    public EndpointCrash {
        Arguments.requireText(endpoint, "endpoint");
        requests = List.copyOf(requests);
    }

    /**
     * A request that was in progress there.
     *
     * @param identity the request
     * @param level the number of crashes that count against it, this one included
     */
    public record Request(RequestIdentity identity, int level) {

        /** Checks the components. */
        public Request {
            Objects.requireNonNull(identity, "identity");
            Arguments.requireAtLeast(level, 1, "level");
        }
    }
}
