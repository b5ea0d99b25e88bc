package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Carries claims to the holders of shares; messages may be lost, late and out of order. */
public interface QuotaTransport {

    /**
     * Sends an ask; the answer comes through {@link CustomerQuotas#handleResponse}.
     *
     * @param holder where the holder listens
     * @param ask what is asked
     */
    void sendRequest(InetSocketAddress holder, TokenRequest ask);

    /**
     * Sends the tokens of an ask back.
     *
     * @param holder where the holder listens
     * @param ask what was asked
     */
    void sendReturn(InetSocketAddress holder, TokenRequest ask);

    /**
     * Calls {@link CustomerQuotas#checkTimeouts} once.
     *
     * @param delay after this time
     */
    void scheduleTimeoutCheck(Duration delay);
}
