package org.whinhead.requests;

import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Refusal;

/**
 * The actions that the coordinator requests; every call returns immediately, and the outcome is
 * reported as an {@link AttemptEvent} or a {@link ClaimOutcome}.
 */
public interface RequestActions {

    /**
     * Sends the request to an engine, to generate its answer or the rest of it.
     *
     * @param attempt the ID of the attempt
     * @param endpoint the engine
     * @param deliveredText text that the caller already has and that the engine must continue;
     *     empty to start over
     * @param deliveredTokens the number of tokens in that text
     */
    void generate(AttemptId attempt, Endpoint endpoint, String deliveredText, long deliveredTokens);

    /**
     * Resumes a stream that an engine still holds.
     *
     * @param attempt the ID of the attempt
     * @param endpoint the engine
     * @param streamId the stream's ID at the engine
     * @param fromIndex the answer index of the first token to send
     */
    void resume(AttemptId attempt, Endpoint endpoint, String streamId, long fromIndex);

    /**
     * Moves a stream's KV cache from a leaving engine to another one.
     *
     * @param attempt the ID of the new attempt, at the receiving engine
     * @param from the leaving engine
     * @param streamId the stream's ID at the leaving engine
     * @param to the receiving engine
     */
    void move(AttemptId attempt, Endpoint from, String streamId, Endpoint to);

    /**
     * Calls a plain service.
     *
     * @param attempt the ID of the attempt
     * @param endpoint the service
     */
    void call(AttemptId attempt, Endpoint endpoint);

    /**
     * Cancels an attempt at its endpoint; its further events are ignored.
     *
     * @param attempt the ID of the attempt
     * @param endpoint the endpoint that runs the attempt
     * @param streamId the stream's ID at the endpoint; empty if not known yet
     */
    void cancel(AttemptId attempt, Endpoint endpoint, String streamId);

    /**
     * Requests the at-most-once claim for a non-idempotent request.
     *
     * @param request the ID of the request
     */
    void claim(RequestId request);

    /**
     * Delivers a token to the caller, each index exactly once and in order.
     *
     * @param request the ID of the request
     * @param index the token's index in the caller's answer, from 0
     * @param text the token's text
     */
    void deliver(RequestId request, long index, String text);

    /**
     * Ends a generated answer after all its tokens were delivered.
     *
     * @param request the ID of the request
     * @param completion the statistics of the answer
     */
    void complete(RequestId request, Completion completion);

    /**
     * Sends a plain service's answer to the caller.
     *
     * @param request the ID of the request
     * @param answer the answer
     */
    void answer(RequestId request, PlainAnswer answer);

    /**
     * Sends a final refusal to the caller.
     *
     * @param request the ID of the request
     * @param refusal the reason, and the verdict on whether the request may have run
     */
    void refuse(RequestId request, Refusal refusal);

    /**
     * Stops reading an attempt's stream without cancelling it at its endpoint; further events of
     * the attempt are ignored.
     *
     * @param attempt the ID of the attempt
     */
    void release(AttemptId attempt);

    /**
     * Sends the caller a ticket with which it can fetch the rest of its answer from any daemon; a
     * later ticket replaces it.
     *
     * @param request the ID of the request
     * @param ticket the ticket, which names the stream of the answer
     */
    void ticket(RequestId request, Ticket ticket);

    /**
     * Ends a request with a ticket because this daemon stops. A streamed answer ends with the
     * ticket; a caller that waits for a whole answer receives the refusal and the ticket. The
     * engine's stream continues: it is neither cancelled nor read any longer.
     *
     * @param request the ID of the request
     * @param ticket the ticket, which names the stream of the answer
     * @param refusal the refusal sent along with the ticket, with the time after which to retry
     */
    void handBack(RequestId request, Ticket ticket, Refusal refusal);

    /**
     * Releases a granted claim, so that another daemon can claim the request; only called after the
     * request ended and certainly did not run. Doing nothing is safe: the request stays claimed.
     *
     * @param request the ID of the request
     */
    default void unclaim(final RequestId request) {
        // If a claim is never released, the caller only has to repeat the request under a new key.
    }
}
