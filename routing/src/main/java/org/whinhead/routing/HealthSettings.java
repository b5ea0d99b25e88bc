package org.whinhead.routing;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Settings of the circuit breaker of an endpoint.
 *
 * @param failuresToSuspect the number of consecutive failures that make an endpoint suspect
 * @param cooldown the delay before the first probe; doubles with each failed probe
 * @param jitter the maximum random addition, as a share of the cooldown
 * @param probeTimeout the time for which a probe without an outcome blocks further probes
 * @param longestCooldown the limit of the doubled cooldown, before jitter
 * @param successRule the successes that clear an endpoint; by default those of dispatches after its
 *     last failure
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
     * Two consecutive failures, a cooldown of one second doubling up to four, jitter of up to half
     * the cooldown, and a probe timeout of ten seconds.
     */
    public static final HealthSettings DEFAULT =
            new HealthSettings(2, Duration.ofSeconds(1), 0.5, Duration.ofSeconds(10));

    /**
     * Creates settings with the default longest cooldown and success rule.
     *
     * @param failuresToSuspect the number of consecutive failures that make an endpoint suspect
     * @param cooldown the delay before the first probe; doubles with each failed probe
     * @param jitter the maximum random addition, as a share of the cooldown
     * @param probeTimeout the time for which a probe without an outcome blocks further probes
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

    /** Checks the ranges. */
    public HealthSettings {
        Arguments.requireAtLeast(failuresToSuspect, 1, "failuresToSuspect");
        Arguments.requirePositive(cooldown, "cooldown");
        Arguments.requirePositive(probeTimeout, "probeTimeout");
        Arguments.requirePositive(longestCooldown, "longestCooldown");
        Objects.requireNonNull(successRule, "successRule");
    }
}
