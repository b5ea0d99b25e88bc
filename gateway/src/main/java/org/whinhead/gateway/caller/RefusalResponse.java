package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A response that this daemon itself creates instead of an endpoint's.
 *
 * <p>Callers treat the statuses 408, 421, 429 and 503 as a guarantee that the request did not run,
 * so only refusals of requests that certainly did not run use them.
 *
 * @param status the HTTP status
 * @param reason the reason in a few words, for the body and the log
 * @param retryAfter the delay after which the caller should retry; empty if it should not
 */
public record RefusalResponse(
        HttpResponseStatus status, String reason, Optional<Duration> retryAfter) {

    /** Checks that no component is null. */
    public RefusalResponse {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Returns the refusal of a request that did not run.
     *
     * @param reason the reason, for the body and the log
     * @param retryAfter the delay after which to retry
     * @return the refusal
     */
    public static RefusalResponse notRun(final String reason, final Duration retryAfter) {
        return new RefusalResponse(
                HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Optional.of(retryAfter));
    }

    /**
     * Returns the refusal of a request that did not run and will not be served later either, such
     * as one for the rest of a stream that can't continue. Its caller may begin anew at once.
     *
     * @param reason the reason, for the body and the log
     * @return the refusal
     */
    public static RefusalResponse notRunForGood(final String reason) {
        return new RefusalResponse(
                HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Optional.empty());
    }

    /**
     * Returns the refusal of a request that exceeds its customer's allowance.
     *
     * @param retryAfter the delay after which the allowance suffices again
     * @return the refusal
     */
    public static RefusalResponse overAllowance(final Duration retryAfter) {
        return new RefusalResponse(
                HttpResponseStatus.TOO_MANY_REQUESTS, "over allowance", Optional.of(retryAfter));
    }

    /**
     * Returns the refusal of a malformed request or of one that the configuration does not allow.
     *
     * @param status the status, 400 or above, but none that guarantees that the request did not run
     * @param reason the reason, for the body and the log
     * @return the refusal
     */
    public static RefusalResponse invalid(final HttpResponseStatus status, final String reason) {
        return new RefusalResponse(status, reason, Optional.empty());
    }

    /**
     * Returns the refusal of a request that may have run.
     *
     * @param reason the reason, for the body and the log
     * @return the refusal
     */
    public static RefusalResponse mayHaveRun(final String reason) {
        return new RefusalResponse(HttpResponseStatus.BAD_GATEWAY, reason, Optional.empty());
    }

    /**
     * Returns the refusal of a request that may have run and whose deadline has passed.
     *
     * @return the refusal
     */
    public static RefusalResponse timedOut() {
        return new RefusalResponse(
                HttpResponseStatus.GATEWAY_TIMEOUT, "timed out", Optional.empty());
    }
}
