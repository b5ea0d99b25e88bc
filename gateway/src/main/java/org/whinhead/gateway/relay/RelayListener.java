package org.whinhead.gateway.relay;

import io.netty.channel.Channel;

/** Receives the outcome of a request to relay a connection. */
public interface RelayListener {

    /**
     * Called when the relay is connected to the endpoint.
     *
     * @param channel carries the bytes to and from the endpoint
     */
    void connected(Channel channel);

    /**
     * Called if the relay is not connected to the endpoint; the channel is closed.
     *
     * @param failure the reason
     */
    void failed(RelayFailure failure);
}
