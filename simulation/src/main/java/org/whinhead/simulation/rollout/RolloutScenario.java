package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * What a simulated roll-out is played with.
 *
 * @param daemons how many daemons there are
 * @param requestsPerSecond requests to the service from all callers
 * @param endpoints endpoints of each of the two versions
 * @param timeBudget how long the order may take
 * @param evidencePace the pause between two reports of a daemon to the holder
 * @param usesTakeoverPace whether daemons report at a faster pace while the new version takes over
 * @param behavior how the new version answers
 * @param disturbance what goes wrong beside it
 */
public record RolloutScenario(
        int daemons,
        double requestsPerSecond,
        int endpoints,
        Duration timeBudget,
        Duration evidencePace,
        boolean usesTakeoverPace,
        VersionBehavior behavior,
        Disturbance disturbance) {

    /** Checks the parts. */
    public RolloutScenario {
        Arguments.requireAtLeast(daemons, 2, "daemons");
        Arguments.requireAtLeast(endpoints, 1, "endpoints");
        Arguments.requirePositive(timeBudget, "timeBudget");
        Arguments.requirePositive(evidencePace, "evidencePace");
        Objects.requireNonNull(behavior, "conduct");
        Objects.requireNonNull(disturbance, "disturbance");
    }

    /**
     * Makes a case of a size, as daemons serve and report today.
     *
     * @param daemons how many daemons there are
     * @param conduct how the new version answers
     * @param disturbance what goes wrong
     * @return a case of one request a second and daemon, and a budget of twelve seconds
     */
    public static RolloutScenario ofSize(
            final int daemons, final VersionBehavior conduct, final Disturbance disturbance) {
        final int pace = Math.max(300, 2 * daemons);
        return new RolloutScenario(
                daemons,
                Math.max(daemons, 12),
                Math.max(daemons / 10, 3),
                Duration.ofSeconds(12),
                Duration.ofMillis(pace),
                true,
                conduct,
                disturbance);
    }

    /**
     * Makes the same case with another pace of reports, which never changes.
     *
     * @param pace the pause between two reports of a daemon
     * @return the case
     */
    public RolloutScenario withEvidencePace(final Duration pace) {
        return new RolloutScenario(
                daemons,
                requestsPerSecond,
                endpoints,
                timeBudget,
                pace,
                false,
                behavior,
                disturbance);
    }
}
