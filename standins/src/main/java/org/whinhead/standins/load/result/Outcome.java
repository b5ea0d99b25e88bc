package org.whinhead.standins.load.result;

import java.util.Locale;

/** How a request ended for its caller. */
public enum Outcome {
    /** The whole answer came, and it is the right one. */
    COMPLETED(false),
    /** A daemon said that the request did not run, and no try contradicts it. */
    REFUSED_NOT_RUN(false),
    /** It failed, and it may have run. */
    FAILED_MAY_HAVE_RUN(false),
    /** It ran, and its final answer was an error. */
    FAILED_RAN(false),
    /** No daemon could be connected to before the deadline, so nothing was sent. */
    UNREACHED(false),
    /** A daemon took it, and no whole answer came though one was owed. */
    LOST(true),
    /** A token was missing, doubled or foreign, or a verdict was false. */
    WRONG(true);

    private final boolean mViolatesGuarantee;

    Outcome(final boolean breaksPromise) {
        mViolatesGuarantee = breaksPromise;
    }

    /** Tells whether the system broke its promise to the caller. */
    public boolean violatesGuarantee() {
        return mViolatesGuarantee;
    }

    /** Returns the name used in JSON, for example {@code refusedNotRun}. */
    public String jsonName() {
        final StringBuilder text = new StringBuilder();
        for (final String word : name().split("_")) {
            final String lower = word.toLowerCase(Locale.ROOT);
            text.append(
                    text.isEmpty()
                            ? lower
                            : Character.toUpperCase(lower.charAt(0)) + lower.substring(1));
        }
        return text.toString();
    }
}
