package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An answer that this daemon makes itself.
 *
 * <p>Callers take 408, 421, 429 and 503 as a promise that the request has not run; only the factory
 * methods for requests that surely did not run use these.
 *
 * @param status the status
 * @param reason what happened, in a few words, for the body and the log
 * @param retryAfter when the caller should come back, if it should
 */
public record Refusal(HttpResponseStatus status, String reason, Optional<Duration> retryAfter) {

    /** Checks the parts. */
    public Refusal {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Refuses a request that did not run.
     *
     * @param reason why
     * @param retryAfter when to come back
     * @return the refusal
     */
    public static Refusal notRun(final String reason, final Duration retryAfter) {
        return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Optional.of(retryAfter));
    }

    /**
     * Refuses a request beyond its customer's allowance.
     *
     * @param retryAfter when the allowance suffices again
     * @return the refusal
     */
    public static Refusal overAllowance(final Duration retryAfter) {
        return new Refusal(
                HttpResponseStatus.TOO_MANY_REQUESTS, "over allowance", Optional.of(retryAfter));
    }

    /**
     * Refuses what no configuration allows, or what can't be read.
     *
     * @param status the status, from 400 on, none of those that promise anything
     * @param reason why
     * @return the refusal
     */
    public static Refusal invalid(final HttpResponseStatus status, final String reason) {
        return new Refusal(status, reason, Optional.empty());
    }

    /**
     * Gives up a request that may have run.
     *
     * @param reason why
     * @return the refusal
     */
    public static Refusal mayHaveRun(final String reason) {
        return new Refusal(HttpResponseStatus.BAD_GATEWAY, reason, Optional.empty());
    }

    /**
     * Gives up a request that may have run and whose time is over.
     *
     * @return the refusal
     */
    public static Refusal timedOut() {
        return new Refusal(HttpResponseStatus.GATEWAY_TIMEOUT, "timed out", Optional.empty());
    }
}
