package org.whinhead.routing;

import java.time.Instant;
import java.util.Set;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestSpec;

/**
 * The input of one routing decision.
 *
 * @param spec the request
 * @param excluded the endpoints that must not be chosen
 * @param now the current time
 */
record RouteQuery(RequestSpec spec, Set<EndpointId> excluded, Instant now) {

    /** Returns whether an endpoint may be chosen; only idempotent requests probe suspect ones. */
    boolean allows(final EndpointState state) {
        return allowsIncludingProbe(state) && (spec.idempotent() || !state.health().isSuspect());
    }

    /** Returns whether an endpoint may be chosen if no healthy one is left, by any request. */
    boolean allowsIncludingProbe(final EndpointState state) {
        return state.canDispatch(now) && !excluded.contains(state.endpoint().id());
    }
}
