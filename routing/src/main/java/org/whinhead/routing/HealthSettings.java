package org.whinhead.routing;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * When an endpoint becomes suspect and when it is probed.
 *
 * @param failuresToSuspect failures in a row that make it suspect
 * @param cooldown the wait before the first probe; doubles with each failed probe
 * @param jitter the share of the cooldown that is added at random
 * @param probeTimeout how long a probe without an outcome keeps others out
 */
public record HealthSettings(
        int failuresToSuspect, Duration cooldown, double jitter, Duration probeTimeout) {

    /** Two failures in a row, a second of cooldown, half of it jitter, ten seconds a probe. */
    public static final HealthSettings DEFAULT =
            new HealthSettings(2, Duration.ofSeconds(1), 0.5, Duration.ofSeconds(10));

    /** Checks every part. */
    public HealthSettings {
        Arguments.requireAtLeast(failuresToSuspect, 1, "failuresToSuspect");
        Arguments.requirePositive(cooldown, "cooldown");
        Arguments.requirePositive(probeTimeout, "probeTimeout");
    }
}
