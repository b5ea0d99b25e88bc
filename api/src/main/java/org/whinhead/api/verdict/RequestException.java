package org.whinhead.api.verdict;

import java.io.Serial;

/** A request's final failure as a checked exception; it always carries a verdict. */
public final class RequestException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    /**
     * Wraps a refusal.
     *
     * @param refusal what the caller is told
     */
    public RequestException(final Refusal refusal) {
        super(refusal.message());
        mRefusal = refusal;
    }

    /** Returns what the caller is told. */
    public Refusal refusal() {
        return mRefusal;
    }

    /** Returns whether the request may have run. */
    public Verdict verdict() {
        return mRefusal.verdict();
    }
}
