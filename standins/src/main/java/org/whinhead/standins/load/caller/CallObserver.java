package org.whinhead.standins.load.caller;

import java.time.Duration;
import org.whinhead.standins.load.result.RequestResult;

/** Receives measurements and results of requests; called from several threads. */
public interface CallObserver {

    /**
     * Receives the time between two consecutive tokens of one answer.
     *
     * @param interval the time at the caller, including reconnects
     */
    void onTokenInterval(Duration interval);

    /**
     * Receives the result of a request that ended.
     *
     * @param result the outcome, latency and verification of the request
     */
    void onRequestEnded(RequestResult result);
}
