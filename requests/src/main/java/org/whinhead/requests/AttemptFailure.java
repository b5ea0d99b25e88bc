package org.whinhead.requests;

import org.whinhead.api.verdict.Verdict;

/** The kind of failure of an attempt, and whether the request may have run. */
public enum AttemptFailure {
    /** No connection was made, so the daemon sent no byte of the request. */
    CONNECT_FAILED(Verdict.NOT_RUN, true),
    /** The endpoint reported that it did not start the request (status 429 or 503). */
    REFUSED_BY_ENDPOINT(Verdict.NOT_RUN, false),
    /** The connection failed while the request was sent or before the answer began. */
    CUT_BEFORE_ANSWER(Verdict.MAY_HAVE_RUN, true),
    /** The stream failed after the answer began. */
    CUT_DURING_ANSWER(Verdict.MAY_HAVE_RUN, true),
    /** The endpoint sent nothing within the silence limit. */
    SILENT(Verdict.MAY_HAVE_RUN, true),
    /** The endpoint does not know the stream to be resumed. */
    STREAM_UNKNOWN(Verdict.MAY_HAVE_RUN, false),
    /** The endpoint returned an error that any other endpoint would return too (status 4xx). */
    REJECTED(Verdict.RAN, false),
    /** The endpoint returned a server error (status 5xx except 503). */
    FAULTED(Verdict.MAY_HAVE_RUN, true);

    private final Verdict mVerdict;
    private final boolean mCountsAgainstEndpoint;

    AttemptFailure(final Verdict verdict, final boolean countsAgainstEndpoint) {
        mVerdict = verdict;
        mCountsAgainstEndpoint = countsAgainstEndpoint;
    }

    /** Returns the verdict on whether this attempt ran. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns whether the failure is evidence that the endpoint is unhealthy. */
    public boolean countsAgainstEndpoint() {
        return mCountsAgainstEndpoint;
    }
}
