package org.whinhead.api.verdict;

import java.io.Serial;

/** Checked exception for the final failure of a request; always carries a verdict. */
public final class RequestException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    /**
     * Creates an exception from a refusal.
     *
     * @param refusal the error response for the caller
     */
    public RequestException(final Refusal refusal) {
        super(refusal.message());
        mRefusal = refusal;
    }

    /** Returns the error response for the caller. */
    public Refusal refusal() {
        return mRefusal;
    }

    /** Returns whether the request may have run. */
    public Verdict verdict() {
        return mRefusal.verdict();
    }
}
