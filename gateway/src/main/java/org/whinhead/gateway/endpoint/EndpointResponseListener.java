package org.whinhead.gateway.endpoint;

import io.netty.buffer.ByteBuf;

/** Receives an endpoint's response to one request. All calls are made on the event loop. */
public interface EndpointResponseListener {

    /**
     * Called when the head of the response is received.
     *
     * @param response the head
     */
    void headReceived(EndpointResponse response);

    /**
     * Called when a part of the body is received.
     *
     * @param bytes the part, valid during this call only
     */
    void bodyReceived(ByteBuf bytes);

    /**
     * Called when the response is complete, as far as its protocol tells.
     *
     * @param end what tells it
     */
    void completed(ResponseEnd end);

    /**
     * Called when this daemon has lost its way to the endpoint and has received nothing for a
     * while. The response may still arrive if the way opens again.
     */
    void pathLost();

    /**
     * Called when the response can't be completed.
     *
     * @param failure the cause
     */
    void failed(EndpointFailure failure);
}
