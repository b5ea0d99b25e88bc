package org.whinhead.requests;

import java.time.Instant;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/**
 * Coordinates all requests of one daemon. Single-threaded; performs no I/O and reads no clock: each
 * call passes the current time.
 */
public interface RequestCoordinator {

    /**
     * Accepts a new request.
     *
     * @param spec the request
     * @param now the current time
     * @return false, without any effect, if a request with the same ID is in progress here
     */
    boolean submit(RequestSpec spec, Instant now);

    /**
     * Continues an answer for a caller that returned with a ticket. If the request is still in
     * progress here, its former connection receives nothing more.
     *
     * @param spec the request, rebuilt from the caller's repeated body
     * @param ticket the ticket, which names the stream of the answer
     * @param haveTokens the number of tokens that the caller already has
     * @param haveText the text of those tokens
     * @param now the current time
     */
    void resume(RequestSpec spec, Ticket ticket, long haveTokens, String haveText, Instant now);

    /**
     * Ends a request whose caller disconnected.
     *
     * @param request the ID of the request
     * @param now the current time
     */
    void onCallerDisconnected(RequestId request, Instant now);

    /**
     * Handles an event of an attempt.
     *
     * @param event the event
     * @param now the current time
     */
    void onAttemptEvent(AttemptEvent event, Instant now);

    /**
     * Handles the outcome of an at-most-once claim.
     *
     * @param request the ID of the request
     * @param outcome the outcome of the claim
     * @param now the current time
     */
    void onClaimDecided(RequestId request, ClaimOutcome outcome, Instant now);

    /**
     * Drains an endpoint that was announced to leave: its streams move to other endpoints while it
     * still answers.
     *
     * @param endpoint the ID of the endpoint
     * @param goneBy the time when the endpoint stops answering
     * @param now the current time
     */
    void onEndpointLeaving(EndpointId endpoint, Instant goneBy, Instant now);

    /**
     * Begins the shutdown of this daemon: refuses new requests and continues those in progress;
     * callers whose answer is incomplete shortly before the end receive a ticket instead.
     *
     * @param goneBy the time when the daemon stops answering
     * @param now the current time
     */
    void beginShutdown(Instant goneBy, Instant now);

    /**
     * Handles timeouts and due retries; called at least every 50 ms.
     *
     * @param now the current time
     */
    void tick(Instant now);

    /** Returns the number of requests in progress. */
    int requestCount();
}
