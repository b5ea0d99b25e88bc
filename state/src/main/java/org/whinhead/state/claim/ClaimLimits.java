package org.whinhead.state.claim;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The time and size limits of a claim coordinator.
 *
 * @param grantValidity the time after the claim's request during which a granted attempt may be
 *     dispatched; well below the window
 * @param linger the longest time that an entry waits for a full batch
 * @param maxBatchEntries the highest number of claims and withdrawals in a record
 * @param maxPending the number of undecided claims, and of queued entries, from which claims are
 *     refused
 * @param maxKeys the number of keys in the table from which claims are refused
 */
public record ClaimLimits(
        Duration grantValidity, Duration linger, int maxBatchEntries, int maxPending, int maxKeys) {

    /** Checks every limit. */
    public ClaimLimits {
        Arguments.requirePositive(grantValidity, "grantValidity");
        Arguments.requirePositive(linger, "linger");
        Arguments.requireAtLeast(maxBatchEntries, 1, "maxBatchEntries");
        Arguments.requireAtLeast(maxPending, 1, "maxPending");
        Arguments.requireAtLeast(maxKeys, 1, "maxKeys");
    }
}
