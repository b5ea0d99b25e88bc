package org.whinhead.standins.load.caller;

import java.time.Duration;
import org.whinhead.standins.load.result.RequestResult;

/** Is told what callers see; called from several threads. */
public interface CallObserver {

    /**
     * The time between two tokens of one answer, as its caller saw it.
     *
     * @param gap the time, reconnects included
     */
    void onTokenInterval(Duration gap);

    /**
     * A request ended.
     *
     * @param result what became of it
     */
    void onRequestEnded(RequestResult result);
}
