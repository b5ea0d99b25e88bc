package org.whinhead.api.verdict;

/** Says whether a request that got no good answer may have run. */
public enum Verdict {
    /** It is certain that the request did not run and never will. */
    NOT_RUN("not-run", true),
    /** The request may have run, in part or whole. */
    MAY_HAVE_RUN("may-have-run", false),
    /** The request ran and its answer, good or bad, is known. */
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
     * Tells whether a further attempt may be made.
     *
     * @param idempotent whether the request may run more than once
     * @return true if another attempt cannot break the at-most-once promise
     */
    public boolean allowsAnotherAttempt(final boolean idempotent) {
        return mSafeForNonIdempotent || (idempotent && this == MAY_HAVE_RUN);
    }

    /**
     * Combines this verdict with a later attempt's: what is known of the request as a whole.
     *
     * @param later the later attempt's verdict
     * @return the less certain of the two
     */
    public Verdict combineWith(final Verdict later) {
        return ordinal() >= later.ordinal() ? this : later;
    }
}
