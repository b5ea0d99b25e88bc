package org.whinhead.daemon.limits;

/**
 * Counts of the requests that wait, run and were resumed.
 *
 * @param waiting the number of requests that wait for a slot
 * @param running the number of requests that hold a slot
 * @param resumed the number of requests resumed with a ticket so far
 * @param resumedWithoutBudget the number of these for which no budget was left
 */
public record AdmissionCounts(int waiting, int running, long resumed, long resumedWithoutBudget) {

    /** The counts before the first request. */
    public static final AdmissionCounts NONE = new AdmissionCounts(0, 0, 0, 0);
}
