package org.whinhead.serving.ratelimit;

/** Whether a request may be sent to an endpoint that names a limit. */
public enum PermitOutcome {
    /** It may be sent after the stated wait. */
    GRANTED,
    /** The limit is used up for longer than the claimant can wait. */
    AT_LIMIT,
    /** The receiver doesn't own the limit, as far as it knows. */
    NOT_OWNER;

    boolean isGranted() {
        return this == GRANTED;
    }
}
