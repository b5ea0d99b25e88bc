package org.whinhead.standins.load.result;

import java.util.Locale;

/** The way in which a request ended for its caller. */
public enum RequestOutcome {
    /** The answer is complete and correct. */
    COMPLETED(false),
    /** A daemon reported that the request did not run, and no other attempt may have run. */
    REFUSED_NOT_RUN(false),
    /** The request failed and may have run. */
    FAILED_MAY_HAVE_RUN(false),
    /** The request ran, and its final answer is an error. */
    FAILED_RAN(false),
    /** No daemon was reachable before the deadline, so nothing was sent. */
    UNREACHED(false),
    /** No complete answer arrived although a daemon accepted the request or may have. */
    LOST(true),
    /** A token is missing, doubled or foreign, or a verdict is false. */
    WRONG(true);

    private final boolean mViolatesGuarantee;

    RequestOutcome(final boolean violatesGuarantee) {
        mViolatesGuarantee = violatesGuarantee;
    }

    /** Returns whether the outcome violates the delivery guarantee: the answer is lost or wrong. */
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
