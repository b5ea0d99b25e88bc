package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Sends messages to the holders of shares; they may be lost, delayed and reordered. */
public interface QuotaTransport {

    /**
     * Sends a request; the response is passed to {@link CustomerQuotas#handleResponse}.
     *
     * @param holder the address of the holder
     * @param request the request for tokens
     */
    void sendRequest(InetSocketAddress holder, TokenRequest request);

    /**
     * Sends the tokens of a request back to their holder.
     *
     * @param holder the address of the holder
     * @param request the request that the tokens were issued for
     */
    void sendReturn(InetSocketAddress holder, TokenRequest request);

    /**
     * Schedules one call of {@link CustomerQuotas#checkTimeouts}.
     *
     * @param delay the time until the call
     */
    void scheduleTimeoutCheck(Duration delay);
}
