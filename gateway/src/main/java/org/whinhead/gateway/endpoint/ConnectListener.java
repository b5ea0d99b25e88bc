package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import org.whinhead.serving.reach.AccessPath;

/** Receives the outcome of an attempt to connect to an endpoint. */
interface ConnectListener {

    /**
     * Called when a connection is open.
     *
     * @param channel the connection, with the handlers that were passed
     * @param path the way that the connection takes
     */
    void connected(Channel channel, AccessPath path);

    /**
     * Called if no connection could be opened.
     *
     * @param failure the reason
     */
    void failed(ConnectFailure failure);
}
