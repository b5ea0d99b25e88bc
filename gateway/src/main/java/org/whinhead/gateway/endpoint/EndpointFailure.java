package org.whinhead.gateway.endpoint;

import org.whinhead.api.verdict.Verdict;

/** The reason why an attempt got no complete response, with whether the request may have run. */
public enum EndpointFailure {
    /** No connection could be made, so nothing was sent. */
    NOT_CONNECTED(Verdict.NOT_RUN),
    /** The connection was lost before the response was complete. */
    CONNECTION_LOST(Verdict.MAY_HAVE_RUN),
    /** The daemon that relayed the connection was lost before the response was complete. */
    RELAY_LOST(Verdict.MAY_HAVE_RUN),
    /** The received bytes were not a valid HTTP response. */
    NOT_HTTP(Verdict.MAY_HAVE_RUN),
    /** More bytes were received that are no response than is allowed. */
    OVERLONG(Verdict.MAY_HAVE_RUN);

    private final Verdict mVerdict;

    EndpointFailure(final Verdict verdict) {
        mVerdict = verdict;
    }

    public Verdict verdict() {
        return mVerdict;
    }
}
