package org.whinhead.requests;

/** The kinds of decisions about a request. */
public enum DecisionKind {
    /** The request was offered for admission. */
    OFFERED,
    /** The request was refused with a final response. */
    REFUSED,
    /** An at-most-once claim was requested. */
    CLAIM_ASKED,
    /** The at-most-once claim was decided. */
    CLAIM_DECIDED,
    /** The request was sent to an endpoint. */
    DISPATCHED,
    /** The endpoint began to answer the attempt; the cause is the stream's ID, if it has one. */
    OPENED,
    /** Reading of the stream was resumed. */
    RESUMED,
    /** A move of the KV cache to another engine was started. */
    MOVE_STARTED,
    /** The KV cache was moved. */
    MOVED,
    /** A move of the KV cache was aborted. */
    MOVE_GIVEN_UP,
    /** An attempt failed. */
    ATTEMPT_FAILED,
    /** A retry was scheduled. */
    PAUSED,
    /** An event of an ended attempt was ignored. */
    LATE_EVENT_IGNORED,
    /** The caller returned with a ticket. */
    CALLER_RETURNED,
    /** The caller disconnected. */
    CALLER_LEFT,
    /** The caller received a ticket for another daemon. */
    HANDED_BACK,
    /** The whole answer was delivered to the caller. */
    COMPLETED
}
