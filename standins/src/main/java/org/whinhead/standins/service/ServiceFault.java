package org.whinhead.standins.service;

import java.util.Locale;

/** What may go wrong with one call of a plain service. */
public enum ServiceFault {
    /** Nothing. */
    NONE(true),
    /** Refused with status 503, before it runs. */
    REFUSE(false),
    /** The connection is cut before it runs. */
    CUT_BEFORE_RUN(false),
    /** It runs, and the connection is cut instead of an answer. */
    CUT_AFTER_RUN(true),
    /** It runs, and the answer is status 500. */
    ERROR_AFTER_RUN(true);

    private final boolean mRuns;

    ServiceFault(final boolean runs) {
        mRuns = runs;
    }

    /** Tells whether the call runs. */
    public boolean runs() {
        return mRuns;
    }

    /** Returns the name used in fault commands. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
