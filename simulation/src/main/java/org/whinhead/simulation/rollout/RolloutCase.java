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
 * @param reportsSooner whether daemons report at a faster pace while the new version takes over
 * @param conduct how the new version answers
 * @param disturbance what goes wrong beside it
 */
public record RolloutCase(
        int daemons,
        double requestsPerSecond,
        int endpoints,
        Duration timeBudget,
        Duration evidencePace,
        boolean reportsSooner,
        VersionConduct conduct,
        Disturbance disturbance) {

    /** Checks the parts. */
    public RolloutCase {
        Arguments.requireAtLeast(daemons, 2, "daemons");
        Arguments.requireAtLeast(endpoints, 1, "endpoints");
        Arguments.requirePositive(timeBudget, "timeBudget");
        Arguments.requirePositive(evidencePace, "evidencePace");
        Objects.requireNonNull(conduct, "conduct");
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
    public static RolloutCase ofSize(
            final int daemons, final VersionConduct conduct, final Disturbance disturbance) {
        final int pace = Math.max(300, 2 * daemons);
        return new RolloutCase(
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
    public RolloutCase withEvidencePace(final Duration pace) {
        return new RolloutCase(
                daemons,
                requestsPerSecond,
                endpoints,
                timeBudget,
                pace,
                false,
                conduct,
                disturbance);
    }
}
