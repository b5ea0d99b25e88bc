package org.whinhead.gateway.endpoint;

import io.netty.buffer.ByteBuf;

/** Hears what comes back of one request at an endpoint; always on the event loop. */
public interface EndpointResponseListener {

    /**
     * The head of the answer has come.
     *
     * @param answer the head
     */
    void headReceived(EndpointResponse answer);

    /**
     * A part of the body has come.
     *
     * @param bytes the part, valid during this call only
     */
    void bodyReceived(ByteBuf bytes);

    /** The answer is whole. */
    void completed();

    /**
     * No more will come.
     *
     * @param failure why
     */
    void failed(EndpointFailure failure);
}
