package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The head of an endpoint's answer, decoded.
 *
 * @param status its status
 * @param passed the headers that a caller gets
 * @param requestId the request that it says it answers, if it says so
 * @param notRun whether the endpoint states that the request did not run
 * @param otherEndpoint whether the address belongs to another endpoint than expected
 * @param genuine whether the body is the endpoint's own: signed and not encoded
 * @param idleTimeout how long the endpoint keeps an idle connection, if it says so
 * @param closes whether the endpoint closes the connection behind this answer
 */
public record EndpointResponse(
        HttpResponseStatus status,
        HttpHeaders forwardedHeaders,
        Optional<String> requestId,
        boolean statesNotRun,
        boolean isFromOtherEndpoint,
        boolean isAuthentic,
        Optional<Duration> idleTimeout,
        boolean closesConnection) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Checks the parts. */
    public EndpointResponse {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(forwardedHeaders, "passed");
    }

    public boolean isSuccess() {
        return status.code() >= FIRST_SUCCESS && status.code() < FIRST_REDIRECT;
    }

    public boolean isServerError() {
        return status.code() >= FIRST_SERVER_ERROR;
    }
}
