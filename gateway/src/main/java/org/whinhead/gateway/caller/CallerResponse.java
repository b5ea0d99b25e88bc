package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;
import org.whinhead.gateway.endpoint.EndpointResponse;

/** The answer to one request of a caller; always on the event loop. */
public interface CallerResponse {

    /**
     * Sends the head of an endpoint's answer.
     *
     * @param answer the head
     */
    void start(EndpointResponse answer);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part, which this call releases
     * @return whether the caller keeps up; if not, {@link CallerRequestHandler#callerCaughtUp}
     *     follows
     */
    boolean write(ByteBuf bytes);

    /** Ends a whole answer. */
    void finish();

    /** Breaks an answer off, such that it can't be taken for a whole one. */
    void abort();

    /**
     * Sends an answer of this daemon.
     *
     * @param refusal the answer
     */
    void refuse(Refusal refusal);
}
