package org.whinhead.daemon.limits;

/**
 * What admission holds and has seen.
 *
 * @param waiting requests that wait for a slot
 * @param running requests that hold a slot
 * @param returned requests that came back with a ticket so far
 * @param returnedWithoutBudget those of them for which no budget was left
 */
public record AdmissionCounts(int waiting, int running, long resumed, long resumedWithoutBudget) {

    /** Nothing so far. */
    public static final AdmissionCounts NONE = new AdmissionCounts(0, 0, 0, 0);
}
