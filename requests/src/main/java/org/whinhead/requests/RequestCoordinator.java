package org.whinhead.requests;

import java.time.Instant;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/**
 * Decides the life of every request of one daemon; single-threaded, without input or output, and
 * told the time with each event.
 */
public interface RequestCoordinator {

    /**
     * Takes in a new request.
     *
     * @param spec the request
     * @param now the time
     * @return false, with nothing done, if a request of that identity is in progress here
     */
    boolean submit(RequestSpec spec, Instant now);

    /**
     * Takes in a caller that comes back for the rest of an answer. If the request is still in
     * progress here, its former connection gets nothing more.
     *
     * @param spec the request, rebuilt from the caller's repeated body
     * @param ticket where the answer was being made
     * @param haveTokens how many tokens the caller already has
     * @param haveText their text
     * @param now the time
     */
    void resume(RequestSpec spec, Ticket ticket, long haveTokens, String haveText, Instant now);

    /**
     * The caller hung up.
     *
     * @param request the request
     * @param now the time
     */
    void onCallerDisconnected(RequestId request, Instant now);

    /**
     * Something happened to an attempt.
     *
     * @param event what happened
     * @param now the time
     */
    void onAttemptEvent(AttemptEvent event, Instant now);

    /**
     * A claim was decided.
     *
     * @param request the request
     * @param outcome the decision
     * @param now the time
     */
    void onClaimDecided(RequestId request, ClaimOutcome outcome, Instant now);

    /**
     * An endpoint was announced to leave: its streams move away while it still answers.
     *
     * @param endpoint the endpoint
     * @param goneBy when it stops answering
     * @param now the time
     */
    void onEndpointLeaving(EndpointId endpoint, Instant goneBy, Instant now);

    /**
     * This daemon was told to stop: new requests are refused, those in progress run on, and callers
     * whose answer is not whole shortly before the end are sent away with a ticket.
     *
     * @param goneBy when the daemon stops answering
     * @param now the time
     */
    void beginShutdown(Instant goneBy, Instant now);

    /**
     * Time passed; called at least every 50 ms.
     *
     * @param now the time
     */
    void tick(Instant now);

    /** Returns how many requests are in progress. */
    int requestCount();
}
