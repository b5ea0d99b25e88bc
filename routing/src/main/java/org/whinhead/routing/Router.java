package org.whinhead.routing;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestSpec;

/** Chooses the endpoint for each attempt. Single-threaded; performs no I/O. */
public interface Router {

    /**
     * Chooses an endpoint and adds the request to its load.
     *
     * @param spec the request
     * @param excluded the endpoints that must not be chosen, for example those already tried
     * @param now the current time
     * @return the endpoint, or empty if no suitable one accepts new work
     */
    Optional<Endpoint> choose(RequestSpec spec, Set<EndpointId> excluded, Instant now);

    /**
     * Records the end of an attempt, with any outcome.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the current time
     */
    void attemptEnded(EndpointId endpoint, RequestSpec spec, Instant now);

    /**
     * Records the success of an attempt; called before {@link #attemptEnded}.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the current time
     */
    default void attemptSucceeded(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {}

    /**
     * Records a failure that the endpoint is responsible for; called before {@link #attemptEnded}.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the current time
     */
    default void attemptFailed(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {}

    /**
     * Adds a request to the load of a given endpoint if that may still answer; used to resume a
     * stream that the endpoint holds.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the current time
     * @return the endpoint, or empty if it is unknown or gone
     */
    default Optional<Endpoint> dispatchTo(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        return Optional.empty();
    }
}
