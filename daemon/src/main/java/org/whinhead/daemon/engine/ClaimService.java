package org.whinhead.daemon.engine;

import org.whinhead.api.request.RequestId;

/** Requests and withdraws the at-most-once claims of requests; no call blocks. */
public interface ClaimService {

    /**
     * Requests a claim; the decision follows as a {@code ClaimDecided} event.
     *
     * @param request the request
     */
    void claim(RequestId request);

    /**
     * Withdraws the granted claim of a request that certainly did not run.
     *
     * @param request the request
     */
    void withdraw(RequestId request);
}
