package org.whinhead.gateway.exchange;

/** Why an attempt is sent to an endpoint. */
enum AttemptReason {
    /** The first one. */
    FIRST,
    /** Another one after an earlier one has failed or was given up. */
    REPEATED,
    /** A run that was moved from another endpoint goes on. */
    MOVED;

    static AttemptReason of(final int sends, final boolean moved) {
        if (moved) {
            return MOVED;
        }
        return sends <= 1 ? FIRST : REPEATED;
    }
}
