package org.whinhead.requests;

/** What was decided about a request. */
public enum DecisionKind {
    /** It waits to be admitted. */
    OFFERED,
    /** It was refused with a final answer. */
    REFUSED,
    /** An at-most-once claim was asked for. */
    CLAIM_ASKED,
    /** The at-most-once claim was decided. */
    CLAIM_DECIDED,
    /** It was sent to an endpoint. */
    DISPATCHED,
    /** Its stream is read on at the same engine. */
    RESUMED,
    /** Its KV cache is being moved to another engine. */
    MOVE_STARTED,
    /** Its KV cache has been moved. */
    MOVED,
    /** A move was given up. */
    MOVE_GIVEN_UP,
    /** An attempt failed. */
    ATTEMPT_FAILED,
    /** It waits for its next try. */
    PAUSED,
    /** An event of an attempt that is over was ignored. */
    LATE_EVENT_IGNORED,
    /** Its caller came back with a ticket. */
    CALLER_RETURNED,
    /** Its caller hung up. */
    CALLER_LEFT,
    /** Its caller was sent away with a ticket. */
    HANDED_BACK,
    /** Its whole answer reached the caller. */
    COMPLETED
}
