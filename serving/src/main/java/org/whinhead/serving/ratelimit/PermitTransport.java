package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Sends messages to the owners of limits; they may be lost, delayed and reordered. */
public interface PermitTransport {

    /**
     * Sends a request; the response is passed to {@link RequestPermits#handleResponse}.
     *
     * @param owner the address of the owner
     * @param request the request
     */
    void sendRequest(InetSocketAddress owner, PermitRequest request);

    /**
     * Sends a response.
     *
     * @param receiver the daemon that has sent the request, which may have been forwarded
     * @param response the response
     */
    void sendResponse(InetSocketAddress receiver, PermitResponse response);

    /**
     * Gives a permit back that was not used.
     *
     * @param owner the address of the owner
     * @param request the request that the permit was granted to
     */
    void sendReturn(InetSocketAddress owner, PermitRequest request);

    /**
     * Schedules one call of {@link RequestPermits#checkTimeouts}.
     *
     * @param delay the time until the call
     */
    void scheduleTimeoutCheck(Duration delay);
}
