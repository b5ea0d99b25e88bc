package org.whinhead.requests;

/** The outcome of an at-most-once claim. */
public enum ClaimOutcome {
    /** This daemon holds the claim and may dispatch once. */
    GRANTED,
    /** Another dispatch holds the claim; the request may have run there. */
    HELD_ELSEWHERE,
    /** The log was not reachable in time, and the claim cannot take effect later. */
    UNAVAILABLE
}
