package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The parameters of a simulated roll-out.
 *
 * @param daemons the number of daemons
 * @param requestsPerSecond the rate of requests to the service from all callers
 * @param endpoints the number of endpoints of each of the two versions
 * @param timeBudget the time limit of the roll-out order
 * @param evidencePace the interval between two reports of a daemon to the holder
 * @param usesTakeoverPace whether daemons report more often while the new version takes over
 * @param behavior how the new version answers
 * @param disturbance the injected fault
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

    /** Checks the components. */
    public RolloutScenario {
        Arguments.requireAtLeast(daemons, 2, "daemons");
        Arguments.requireAtLeast(endpoints, 1, "endpoints");
        Arguments.requirePositive(timeBudget, "timeBudget");
        Arguments.requirePositive(evidencePace, "evidencePace");
        Objects.requireNonNull(behavior, "behavior");
        Objects.requireNonNull(disturbance, "disturbance");
    }

    /**
     * Creates a scenario with the report interval that daemons use at a fleet size.
     *
     * @param daemons the number of daemons
     * @param behavior how the new version answers
     * @param disturbance the injected fault
     * @return a scenario with one request per second and daemon and a time budget of twelve seconds
     */
    public static RolloutScenario ofSize(
            final int daemons, final VersionBehavior behavior, final Disturbance disturbance) {
        final int intervalMillis = Math.max(300, 2 * daemons);
        return new RolloutScenario(
                daemons,
                Math.max(daemons, 12),
                Math.max(daemons / 10, 3),
                Duration.ofSeconds(12),
                Duration.ofMillis(intervalMillis),
                true,
                behavior,
                disturbance);
    }

    /**
     * Returns a copy with another report interval, which stays the same during the takeover.
     *
     * @param pace the interval between two reports of a daemon
     * @return the changed scenario
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
