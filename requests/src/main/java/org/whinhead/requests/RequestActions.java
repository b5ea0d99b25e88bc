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
}
