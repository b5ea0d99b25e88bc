package org.whinhead.routing;

import java.time.Instant;
import java.util.Set;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestSpec;

/**
 * One choice to make.
 *
 * @param spec the request
 * @param excluded endpoints that must not be chosen
 * @param now the time
 */
record RouteQuery(RequestSpec spec, Set<EndpointId> excluded, Instant now) {

    /** Tells whether an endpoint may be chosen; a recovery probe needs an idempotent request. */
    boolean allows(final EndpointState state) {
        return allowsIncludingProbe(state) && (spec.idempotent() || !state.health().isSuspect());
    }

    /** Tells whether an endpoint may be chosen when no healthy one is left. */
    boolean allowsIncludingProbe(final EndpointState state) {
        return state.canDispatch(now) && !excluded.contains(state.endpoint().id());
    }
}
