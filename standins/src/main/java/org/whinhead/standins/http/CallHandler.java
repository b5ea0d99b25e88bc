package org.whinhead.standins.http;

import java.io.IOException;

/** Handles an HTTP call. */
@FunctionalInterface
public interface CallHandler {

    /**
     * Answers a call at once, or stores it to answer it later.
     *
     * @param call the call
     * @throws IOException if the body is malformed; the caller receives status 400
     */
    void handle(StandInCall call) throws IOException;
}
