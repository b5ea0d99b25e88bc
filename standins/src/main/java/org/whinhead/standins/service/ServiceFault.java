package org.whinhead.standins.service;

import java.util.Locale;

/** A simulated failure of a plain service call. */
public enum ServiceFault {
    /** No failure. */
    NONE(true),
    /** The call is refused with status 503 and doesn't run. */
    REFUSE(false),
    /** The connection is closed before the call runs. */
    CUT_BEFORE_RUN(false),
    /** The call runs, and the connection is closed without a response. */
    CUT_AFTER_RUN(true),
    /** The call runs, and the response has status 500. */
    ERROR_AFTER_RUN(true);

    private final boolean mRuns;

    ServiceFault(final boolean runs) {
        mRuns = runs;
    }

    /** Returns whether the call runs. */
    public boolean runs() {
        return mRuns;
    }

    /** Returns the name used in fault commands. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
