package org.whinhead.requests;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;

/**
 * One decision about one request.
 *
 * @param at when it was made
 * @param request the request
 * @param attempt the attempt's number; 0 if it concerns none
 * @param kind what was decided
 * @param endpoint the endpoint that it concerns, if any
 * @param cause why, in a few words
 */
public record Decision(
        Instant at,
        RequestId request,
        int attempt,
        DecisionKind kind,
        Optional<EndpointId> endpoint,
        String cause) {

    /** Checks every part. */
    public Decision {
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(cause, "cause");
    }
}
