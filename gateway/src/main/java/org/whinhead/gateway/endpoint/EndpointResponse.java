package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The decoded head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param forwardedHeaders the headers to forward to the caller
 * @param requestId the id of the request that the response names; empty if it names none
 * @param statesNotRun whether the endpoint states that the request did not run
 * @param isFromOtherEndpoint whether another endpoint than expected uses the address
 * @param isAuthentic whether the body is verified to be the endpoint's own: signed and without
 *     content encoding
 * @param idleTimeout the time for which the endpoint keeps an idle connection; empty if not stated
 * @param statements what the endpoint says of itself
 * @param closesConnection whether the endpoint closes the connection after this response
 */
public record EndpointResponse(
        HttpResponseStatus status,
        HttpHeaders forwardedHeaders,
        Optional<String> requestId,
        boolean statesNotRun,
        boolean isFromOtherEndpoint,
        boolean isAuthentic,
        Optional<Duration> idleTimeout,
        EndpointStatements statements,
        boolean closesConnection) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Checks that the status and the headers are not null. */
    public EndpointResponse {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(forwardedHeaders, "forwardedHeaders");
        Objects.requireNonNull(statements, "statements");
    }

    public boolean isSuccess() {
        return status.code() >= FIRST_SUCCESS && status.code() < FIRST_REDIRECT;
    }

    /** Returns whether the endpoint has rejected the request for want of room. */
    public boolean isRejection() {
        return statesNotRun && hasRejectionStatus();
    }

    /** Returns whether the status is that of a rejection, whatever else the head states. */
    public boolean hasRejectionStatus() {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
    }

    /**
     * Returns the pause for which the endpoint asks as it turns the request away. It counts whether
     * or not the endpoint states as well that the request did not run.
     */
    public Optional<Duration> requestedPause() {
        return hasRejectionStatus() ? statements.retryAfter() : Optional.empty();
    }

    /**
     * Returns whether the response is that of another request. One that names no request is not:
     * endpoints may turn requests away without naming them.
     *
     * @param expectedId the id of the request that was sent
     */
    public boolean namesOtherRequest(final String expectedId) {
        return requestId.isPresent() && !requestId.get().equals(expectedId);
    }

    /**
     * Returns whether what the head says of its endpoint is that endpoint's own statement, made
     * while it answered a request.
     *
     * @param expectedId the id of the request that was sent
     */
    public boolean isStatementOfEndpoint(final String expectedId) {
        return !isFromOtherEndpoint && isAuthentic && requestId.equals(Optional.of(expectedId));
    }

    /**
     * Returns whether the endpoint itself has answered a request, as far as the head shows. Unlike
     * {@link #isStatementOfEndpoint} this is true of a rejection that doesn't state whether the
     * request ran: it says nothing reliable of the request, but of its endpoint.
     *
     * @param expectedId the id of the request that was sent
     */
    public boolean isFromEndpoint(final String expectedId) {
        return !isFromOtherEndpoint
                && (isAuthentic || !isSuccess())
                && requestId.equals(Optional.of(expectedId));
    }

    public boolean isServerError() {
        return status.code() >= FIRST_SERVER_ERROR;
    }
}
