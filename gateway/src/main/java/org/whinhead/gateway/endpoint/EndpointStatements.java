package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.whinhead.serving.ratelimit.RequestRateLimit;

/**
 * What an endpoint says of itself in the head of a response, whatever the response answers.
 *
 * @param leaving whether it says that it leaves
 * @param retryAfter the time for which it wants no requests if it has rejected this one; empty if
 *     it names none
 * @param rejectionLimit the rejections in a second after which it falls over; empty if it doesn't
 *     say that it is brittle
 * @param rateLimit the requests per second that it takes from all daemons together; empty if it
 *     names no limit
 */
public record EndpointStatements(
        boolean leaving,
        Optional<Duration> retryAfter,
        OptionalInt rejectionLimit,
        Optional<RequestRateLimit> rateLimit) {

    /** The statements of an endpoint that says nothing of itself. */
    public static final EndpointStatements NONE =
            new EndpointStatements(false, Optional.empty(), OptionalInt.empty(), Optional.empty());

    /** Checks the components. */
    public EndpointStatements {
        Objects.requireNonNull(retryAfter, "retryAfter");
        Objects.requireNonNull(rejectionLimit, "rejectionLimit");
        Objects.requireNonNull(rateLimit, "rateLimit");
    }
}
