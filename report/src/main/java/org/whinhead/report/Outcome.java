package org.whinhead.report;

/** The outcome of a request from its caller's point of view. */
public enum Outcome {
    /** The whole answer reached the caller. */
    COMPLETED(true, true),
    /** The request was refused with the verdict "not run". */
    REFUSED_NOT_RUN(true, false),
    /** The request failed with the verdict "may have run". */
    FAILED_MAY_HAVE_RUN(true, false),
    /** The request was invalid: malformed, unknown, not allowed or over its own budget. */
    CALLER_FAULT(false, false),
    /** The caller disconnected before the end. */
    CALLER_LEFT(false, false),
    /** The caller continues with a ticket; the daemon that ends the request counts it. */
    HANDED_OVER(false, false);

    private final boolean mCountsTowardsAvailability;
    private final boolean mGood;

    Outcome(final boolean countsTowardsAvailability, final boolean good) {
        mCountsTowardsAvailability = countsTowardsAvailability;
        mGood = good;
    }

    /** Returns whether the outcome counts towards availability. */
    public boolean countsTowardsAvailability() {
        return mCountsTowardsAvailability;
    }

    /** Returns whether the request was answered as asked. */
    public boolean isGood() {
        return mGood;
    }
}
