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
    /** The head of the response was read as the rest of one that had been begun before. */
    JOINED_HEAD(Verdict.MAY_HAVE_RUN),
    /** More bytes were received that are no response than is allowed. */
    OVERLONG(Verdict.MAY_HAVE_RUN);

    private final Verdict mVerdict;

    EndpointFailure(final Verdict verdict) {
        mVerdict = verdict;
    }

    /** Returns whether the endpoint has sent bytes that are not the response. */
    public boolean isInvalidResponse() {
        return this == NOT_HTTP || this == JOINED_HEAD || this == OVERLONG;
    }

    public Verdict verdict() {
        return mVerdict;
    }
}
