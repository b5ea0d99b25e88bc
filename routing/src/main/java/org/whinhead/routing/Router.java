package org.whinhead.routing;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestSpec;

/** Chooses the endpoint for one attempt; single-threaded, without input or output. */
public interface Router {

    /**
     * Chooses an endpoint and counts the send against it.
     *
     * @param spec the request
     * @param excluded endpoints that must not be chosen, for example those already tried
     * @param now the time
     * @return the endpoint, or empty if none that fits is open to new work
     */
    Optional<Endpoint> choose(RequestSpec spec, Set<EndpointId> excluded, Instant now);

    /**
     * An attempt at an endpoint ended, however it ended.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the time
     */
    void attemptEnded(EndpointId endpoint, RequestSpec spec, Instant now);

    /**
     * An attempt at an endpoint brought its answer; told before {@link #ended}.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the time
     */
    default void attemptSucceeded(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {}

    /**
     * An attempt failed in a way that counts against its endpoint; told before {@link #ended}.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the time
     */
    default void attemptFailed(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {}

    /**
     * Finds one endpoint by name, if it may still answer, and counts a send against it; used to
     * resume a stream that the endpoint holds.
     *
     * @param endpoint the endpoint
     * @param spec the request
     * @param now the time
     * @return the endpoint, or empty if it is not known or gone
     */
    default Optional<Endpoint> dispatchTo(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        return Optional.empty();
    }
}
