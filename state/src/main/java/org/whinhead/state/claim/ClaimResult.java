package org.whinhead.state.claim;

/** The decision on a claim. */
public enum ClaimResult {
    /** The attempt holds the key and may be dispatched once. */
    GRANTED,
    /** Another attempt holds the key; the request may have run there. */
    HELD_ELSEWHERE,
    /** The attempt is not granted and never will be, so it does not run. */
    UNAVAILABLE
}
