package org.whinhead.standins.http;

import java.io.IOException;

/** Answers one call, at once or later. */
@FunctionalInterface
public interface CallHandler {

    /**
     * Answers a call or keeps it to answer it later.
     *
     * @param call the call
     * @throws IOException if its body is malformed; the caller gets status 400
     */
    void handle(StandInCall call) throws IOException;
}
