package org.whinhead.requests;

import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Refusal;

/**
 * What the coordinator tells the outside to do; every call returns at once, and the outcome comes
 * back as an {@link AttemptEvent} or a claim outcome.
 */
public interface RequestActions {

    /**
     * Sends the request to an engine from its start.
     *
     * @param attempt the attempt
     * @param endpoint the engine
     * @param deliveredText text that the caller already has and that the engine must continue;
     *     empty to start over
     * @param deliveredTokens how many tokens that text has
     */
    void generate(AttemptId attempt, Endpoint endpoint, String deliveredText, long deliveredTokens);

    /**
     * Resumes a stream that an engine still holds.
     *
     * @param attempt the attempt
     * @param endpoint the engine
     * @param streamId the engine's name for the stream
     * @param fromIndex the first token wanted
     */
    void resume(AttemptId attempt, Endpoint endpoint, String streamId, long fromIndex);

    /**
     * Moves a stream's KV cache from a leaving engine to another one.
     *
     * @param attempt the new attempt, at the receiving engine
     * @param from the leaving engine
     * @param streamId the leaving engine's name for the stream
     * @param to the receiving engine
     */
    void move(AttemptId attempt, Endpoint from, String streamId, Endpoint to);

    /**
     * Calls a plain service.
     *
     * @param attempt the attempt
     * @param endpoint the service
     */
    void call(AttemptId attempt, Endpoint endpoint);

    /**
     * Ends an attempt at its endpoint; no further event of it is wanted.
     *
     * @param attempt the attempt
     * @param endpoint where it runs
     * @param streamId the endpoint's name for the stream; empty if not known yet
     */
    void cancel(AttemptId attempt, Endpoint endpoint, String streamId);

    /**
     * Asks for the at-most-once claim of a non-idempotent request.
     *
     * @param request the request
     */
    void claim(RequestId request);

    /**
     * Hands tokens to the caller, each index exactly once and in order.
     *
     * @param request the request
     * @param index the token's index in the caller's answer, from 0
     * @param text the token's text
     */
    void deliver(RequestId request, long index, String text);

    /**
     * Ends a generated answer; all its tokens were delivered before.
     *
     * @param request the request
     * @param completion how it went
     */
    void complete(RequestId request, Completion completion);

    /**
     * Gives the caller a plain service's answer.
     *
     * @param request the request
     * @param answer the answer
     */
    void answer(RequestId request, PlainAnswer answer);

    /**
     * Gives the caller a final refusal, at once.
     *
     * @param request the request
     * @param refusal why, and whether it may have run
     */
    void refuse(RequestId request, Refusal refusal);

    /**
     * Stops reading an attempt's stream without ending it at its endpoint; no further event of it
     * is wanted.
     *
     * @param attempt the attempt
     */
    void release(AttemptId attempt);

    /**
     * Gives the caller a ticket, good from now on, with which it can fetch the rest of its answer
     * from any daemon; a later ticket replaces it.
     *
     * @param request the request
     * @param ticket where the answer is being made
     */
    void ticket(RequestId request, Ticket ticket);

    /**
     * Sends the caller away with a ticket because this daemon stops. A streamed answer ends with
     * the ticket; a caller that waits for a whole answer gets the refusal and the ticket. The
     * engine's stream runs on: it is neither cancelled nor read any more.
     *
     * @param request the request
     * @param ticket where the answer is being made
     * @param refusal what is said beside it, with a time to come back
     */
    void handBack(RequestId request, Ticket ticket, Refusal refusal);

    /**
     * Gives up a granted claim: its holder has ended the request and it certainly did not run, so
     * that another daemon may claim it. Doing nothing is safe; the request then stays claimed.
     *
     * @param request the request
     */
    default void unclaim(final RequestId request) {
        // A claim that is never given up only costs its caller a repeat under a new key.
    }
}
