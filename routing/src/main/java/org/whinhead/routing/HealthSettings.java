package org.whinhead.routing;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * When an endpoint becomes suspect and when it is probed.
 *
 * @param failuresToSuspect failures in a row that make it suspect
 * @param cooldown the wait before the first probe; doubles with each failed probe
 * @param jitter the share of the cooldown that is added at random
 * @param probeTimeout how long a probe without an outcome keeps others out
 * @param longestCooldown where the doubling ends, before jitter
 * @param successRule which successes clear an endpoint; by default those that began after its last
 *     failure
 */
public record HealthSettings(
        int failuresToSuspect,
        Duration cooldown,
        double jitter,
        Duration probeTimeout,
        Duration longestCooldown,
        SuccessRule successRule) {

    private static final Duration LONGEST_COOLDOWN = Duration.ofSeconds(4);

    /**
     * Two failures in a row, a second of cooldown that doubles up to four, half of it jitter, ten
     * seconds a probe.
     */
    public static final HealthSettings DEFAULT =
            new HealthSettings(2, Duration.ofSeconds(1), 0.5, Duration.ofSeconds(10));

    /**
     * Makes settings with the usual longest cooldown and rule on successes.
     *
     * @param failuresToSuspect failures in a row that make it suspect
     * @param cooldown the wait before the first probe; doubles with each failed probe
     * @param jitter the share of the cooldown that is added at random
     * @param probeTimeout how long a probe without an outcome keeps others out
     */
    public HealthSettings(
            final int failuresToSuspect,
            final Duration cooldown,
            final double jitter,
            final Duration probeTimeout) {
        this(
                failuresToSuspect,
                cooldown,
                jitter,
                probeTimeout,
                LONGEST_COOLDOWN,
                SuccessRule.BEGAN_AFTER_LAST_FAILURE);
    }

    /** Checks every part. */
    public HealthSettings {
        Arguments.requireAtLeast(failuresToSuspect, 1, "failuresToSuspect");
        Arguments.requirePositive(cooldown, "cooldown");
        Arguments.requirePositive(probeTimeout, "probeTimeout");
        Arguments.requirePositive(longestCooldown, "longestCooldown");
        Objects.requireNonNull(successRule, "successRule");
    }
}
