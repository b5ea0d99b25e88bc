package org.whinhead.requests;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;

/**
 * A log record of one decision about a request.
 *
 * @param at the time of the decision
 * @param request the ID of the request
 * @param attempt the number of the attempt; 0 if the decision concerns no attempt
 * @param kind the kind of decision
 * @param endpoint the endpoint that the decision concerns, if any
 * @param cause a short human-readable reason
 */
public record Decision(
        Instant at,
        RequestId request,
        int attempt,
        DecisionKind kind,
        Optional<EndpointId> endpoint,
        String cause) {

    /** Validates the components. */
    public Decision {
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(cause, "cause");
    }
}
