package org.whinhead.admission;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Bounds of one daemon's queues.
 *
 * @param maxWaiting the most requests that wait for one model or service
 * @param startSlots concurrent requests for a target whose capacity is not known yet
 * @param dispatchAllowance time kept back from the target for the way to the first token after
 *     admission
 * @param shortestRetry the shortest time to come back that a caller is told
 * @param longestRetry the longest
 */
public record AdmissionSettings(
        int maxWaiting,
        int initialSlots,
        Duration dispatchAllowance,
        Duration minRetryAfter,
        Duration maxRetryAfter) {

    /** Bounds for an entry VM of today's size. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    512,
                    16,
                    Duration.ofMillis(200),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(30));

    /** Checks every part. */
    public AdmissionSettings {
        Arguments.requireAtLeast(maxWaiting, 1, "maxWaiting");
        Arguments.requireAtLeast(initialSlots, 0, "initialSlots");
        Arguments.requirePositive(dispatchAllowance, "dispatchAllowance");
        Arguments.requirePositive(minRetryAfter, "minRetryAfter");
        Arguments.requirePositive(maxRetryAfter, "maxRetryAfter");
    }
}
