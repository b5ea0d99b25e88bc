package org.whinhead.requests;

import org.whinhead.api.verdict.Verdict;

/** How one attempt ended without a whole answer, and what that says about having run. */
public enum AttemptFailure {
    /** No connection was made, so no byte of the request left the daemon. */
    CONNECT_FAILED(Verdict.NOT_RUN, true),
    /** The endpoint said that it did not start the request (status 429 or 503). */
    REFUSED_BY_ENDPOINT(Verdict.NOT_RUN, false),
    /** The connection broke while the request was sent or before the answer began. */
    CUT_BEFORE_ANSWER(Verdict.MAY_HAVE_RUN, true),
    /** The answer began and its stream broke. */
    CUT_DURING_ANSWER(Verdict.MAY_HAVE_RUN, true),
    /** Nothing arrived for too long. */
    SILENT(Verdict.MAY_HAVE_RUN, true),
    /** The endpoint does not know the stream that was to be resumed. */
    STREAM_UNKNOWN(Verdict.MAY_HAVE_RUN, false),
    /** The endpoint answered with an error that another endpoint would repeat (status 4xx). */
    REJECTED(Verdict.RAN, false),
    /** The endpoint answered with a fault of its own (status 5xx but not 503). */
    FAULTED(Verdict.MAY_HAVE_RUN, true);

    private final Verdict mVerdict;
    private final boolean mCountsAgainstEndpoint;

    AttemptFailure(final Verdict verdict, final boolean countsAgainstEndpoint) {
        mVerdict = verdict;
        mCountsAgainstEndpoint = countsAgainstEndpoint;
    }

    /** Returns whether this attempt may have run. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Tells whether the endpoint's health is put in doubt. */
    public boolean countsAgainstEndpoint() {
        return mCountsAgainstEndpoint;
    }
}
