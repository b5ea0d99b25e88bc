package org.whinhead.daemon.engine;

import org.whinhead.api.request.RequestId;

/** Takes the at-most-once claims of requests; every call returns at once. */
public interface ClaimService {

    /**
     * Asks for a claim; the decision comes back as an event.
     *
     * @param request the request
     */
    void claim(RequestId request);

    /**
     * Gives up a granted claim of a request that certainly did not run.
     *
     * @param request the request
     */
    void withdraw(RequestId request);
}
