package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;
import org.whinhead.gateway.endpoint.EndpointAnswer;

/** The answer to one request of a caller; always on the event loop. */
public interface CallerAnswer {

    /**
     * Sends the head of an endpoint's answer.
     *
     * @param answer the head
     */
    void start(EndpointAnswer answer);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part, which this call releases
     * @return whether the caller keeps up; if not, {@link CallerRequestHandler#callerKeepsUp}
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
