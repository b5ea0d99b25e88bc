package org.whinhead.gateway.endpoint;

import org.whinhead.api.verdict.Verdict;

/** Why an attempt got no whole answer, and whether the request may have run. */
public enum EndpointFailure {
    /** No connection could be made, so nothing was sent. */
    NOT_CONNECTED(Verdict.NOT_RUN),
    /** The connection broke, or ended before the answer was whole. */
    CONNECTION_LOST(Verdict.MAY_HAVE_RUN),
    /** What came was no answer in the protocol. */
    NOT_HTTP(Verdict.MAY_HAVE_RUN);

    private final Verdict mVerdict;

    EndpointFailure(final Verdict verdict) {
        mVerdict = verdict;
    }

    public Verdict verdict() {
        return mVerdict;
    }
}
