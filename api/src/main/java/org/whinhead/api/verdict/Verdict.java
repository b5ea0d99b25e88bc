package org.whinhead.api.verdict;

/** Verdict on whether a request without a successful response may have run. */
public enum Verdict {
    /** It is certain that the request did not run and never will. */
    NOT_RUN("not-run", true),
    /** The request may have run, partly or completely. */
    MAY_HAVE_RUN("may-have-run", false),
    /** The request ran, and its response, successful or not, is known. */
    RAN("ran", false);

    private final String mWireName;
    private final boolean mSafeForNonIdempotent;

    Verdict(final String wireName, final boolean safeForNonIdempotent) {
        mWireName = wireName;
        mSafeForNonIdempotent = safeForNonIdempotent;
    }

    /** Returns the name used in headers and bodies. */
    public String wireName() {
        return mWireName;
    }

    /**
     * Returns whether another attempt is allowed.
     *
     * @param idempotent whether the request may run more than once
     * @return true if another attempt cannot violate the at-most-once guarantee
     */
    public boolean allowsAnotherAttempt(final boolean idempotent) {
        return mSafeForNonIdempotent || (idempotent && this == MAY_HAVE_RUN);
    }

    /**
     * Combines this verdict with that of a later attempt into the verdict of the request.
     *
     * @param later the later attempt's verdict
     * @return the one of the two verdicts that is declared later in this enum
     */
    public Verdict combineWith(final Verdict later) {
        return ordinal() >= later.ordinal() ? this : later;
    }
}
