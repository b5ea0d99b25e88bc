package org.whinhead.state.claim;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The bounds of a claim desk.
 *
 * @param grantValidity how long after its request a granted attempt may be dispatched; well below
 *     the window
 * @param linger how long a claim waits for others to share its append
 * @param batch the most claims in one record
 * @param maxPending the most claims and withdrawals that wait
 * @param maxKeys the most keys that the table may remember before claims are refused
 */
public record ClaimTerms(
        Duration grantValidity, Duration linger, int batch, int maxPending, int maxKeys) {

    /** Checks every bound. */
    public ClaimTerms {
        Arguments.requirePositive(grantValidity, "grantValidity");
        Arguments.requirePositive(linger, "linger");
        Arguments.requireAtLeast(batch, 1, "batch");
        Arguments.requireAtLeast(maxPending, 1, "maxPending");
        Arguments.requireAtLeast(maxKeys, 1, "maxKeys");
    }
}
