package org.whinhead.requests;

/** What became of an at-most-once claim. */
public enum ClaimOutcome {
    /** This daemon holds the claim and may dispatch once. */
    GRANTED,
    /** Another dispatch holds the claim; the request may have run there. */
    HELD_ELSEWHERE,
    /** The log could not be reached in time, and no record of the claim can take effect later. */
    UNAVAILABLE
}
