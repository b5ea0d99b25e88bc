package org.whinhead.admission;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Bounds of one daemon's queues.
 *
 * @param maxWaiting the maximum number of queued requests per model or service
 * @param initialSlots the number of concurrent requests for a model or service of yet unknown
 *     capacity
 * @param dispatchAllowance the part of the first-token target reserved for the time from admission
 *     to the first token
 * @param minRetryAfter the shortest retry delay sent to a caller
 * @param maxRetryAfter the longest retry delay sent to a caller, before jitter
 */
public record AdmissionSettings(
        int maxWaiting,
        int initialSlots,
        Duration dispatchAllowance,
        Duration minRetryAfter,
        Duration maxRetryAfter) {

    /** The bounds for an entry VM of the current size. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    512,
                    16,
                    Duration.ofMillis(200),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(30));

    /** Checks the ranges. */
    public AdmissionSettings {
        Arguments.requireAtLeast(maxWaiting, 1, "maxWaiting");
        Arguments.requireAtLeast(initialSlots, 0, "initialSlots");
        Arguments.requirePositive(dispatchAllowance, "dispatchAllowance");
        Arguments.requirePositive(minRetryAfter, "minRetryAfter");
        Arguments.requirePositive(maxRetryAfter, "maxRetryAfter");
    }
}
