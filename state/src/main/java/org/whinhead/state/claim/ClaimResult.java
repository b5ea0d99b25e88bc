package org.whinhead.state.claim;

/** How a claim was decided. */
public enum ClaimResult {
    /** The attempt holds the key and may be dispatched once. */
    GRANTED,
    /** Another attempt holds the key; the request may have run there. */
    HELD_ELSEWHERE,
    /** The attempt got no grant and never will, so it does not run. */
    UNAVAILABLE
}
