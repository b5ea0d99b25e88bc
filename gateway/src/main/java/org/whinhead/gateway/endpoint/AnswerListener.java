package org.whinhead.gateway.endpoint;

import io.netty.buffer.ByteBuf;

/** Hears what comes back of one request at an endpoint; always on the event loop. */
public interface AnswerListener {

    /**
     * The head of the answer has come.
     *
     * @param answer the head
     */
    void head(EndpointAnswer answer);

    /**
     * A part of the body has come.
     *
     * @param bytes the part, valid during this call only
     */
    void body(ByteBuf bytes);

    /** The answer is whole. */
    void end();

    /**
     * No more will come.
     *
     * @param failure why
     */
    void failed(EndpointFailure failure);
}
