package org.whinhead.state.claim;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The bounds of a claim desk.
 *
 * @param grantValidity how long after its request a granted attempt may be dispatched; well below
 *     the window
 * @param linger how long a claim waits for others to share its append
 * @param maxBatchEntries the most claims in one record
 * @param maxPending the most claims and withdrawals that wait
 * @param maxKeys the most keys that the table may remember before claims are refused
 */
public record ClaimLimits(
        Duration grantValidity, Duration linger, int maxBatchEntries, int maxPending, int maxKeys) {

    /** Checks every bound. */
    public ClaimLimits {
        Arguments.requirePositive(grantValidity, "grantValidity");
        Arguments.requirePositive(linger, "linger");
        Arguments.requireAtLeast(maxBatchEntries, 1, "maxBatchEntries");
        Arguments.requireAtLeast(maxPending, 1, "maxPending");
        Arguments.requireAtLeast(maxKeys, 1, "maxKeys");
    }
}
