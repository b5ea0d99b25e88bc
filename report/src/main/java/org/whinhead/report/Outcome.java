package org.whinhead.report;

/** How a request ended, as its caller saw it. */
public enum Outcome {
    /** The whole answer reached the caller. */
    COMPLETED(true, true),
    /** Refused with the verdict "not run". */
    REFUSED_NOT_RUN(true, false),
    /** Failed with the verdict "may have run". */
    FAILED_MAY_HAVE_RUN(true, false),
    /** The request was at fault: malformed, unknown, not allowed or over its own budget. */
    CALLER_FAULT(false, false),
    /** The caller hung up before the end. */
    CALLER_LEFT(false, false),
    /** The caller went on with a ticket; whoever ends the request counts it. */
    HANDED_OVER(false, false);

    private final boolean mCountsTowardsAvailability;
    private final boolean mGood;

    Outcome(final boolean counts, final boolean good) {
        mCountsTowardsAvailability = counts;
        mGood = good;
    }

    /** Tells whether the outcome counts towards availability at all. */
    public boolean countsTowardsAvailability() {
        return mCountsTowardsAvailability;
    }

    /** Tells whether the outcome is what the caller asked for. */
    public boolean isGood() {
        return mGood;
    }
}
