package org.whinhead.simulation.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.whinhead.serving.rollout.RolloutState;

/**
 * Callers of a service whose new version is bad. The operator orders it, some of them get failures,
 * and it must be taken back before more than a tenth of all requests and fifty have met it,
 * whatever happens to the daemons meanwhile. The limits are the users'; twelve seconds are the
 * order of the platform's example.
 */
class RolloutSimulationTest {

    private static final int SEEDS = 6;
    private static final int DAEMONS = 66;
    private static final int LARGEST = 330;

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void badVersionIsNotMetByTooMany(final Disturbance disturbance) {
        final List<String> wrong = new ArrayList<>();
        for (final VersionBehavior conduct : VersionBehavior.values()) {
            for (int seed = 0; conduct.isBad() && seed < SEEDS; seed++) {
                final RolloutOutcome outcome = play(conduct, disturbance, seed);
                if (isOverExposed(outcome)) {
                    wrong.add(conduct + " " + seed + " " + outcome);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = VersionBehavior.class,
            names = {"BAD_AT_ONCE", "BAD_LATER", "SLOW"})
    void versionThatFailsManyIsNeverCompleted(final VersionBehavior conduct) {
        assertThat(completed(conduct)).isEmpty();
    }

    /**
     * A fault on one of three routes, or only under load, shows in a third of the answers or less.
     */
    @ParameterizedTest
    @EnumSource(
            value = VersionBehavior.class,
            names = {"BAD_UNDER_LOAD", "BAD_ON_ONE_ROUTE"})
    void versionThatFailsFewIsNeverCompleted(final VersionBehavior conduct) {
        assertThat(completed(conduct)).isEmpty();
    }

    private static List<String> completed(final VersionBehavior conduct) {
        final List<String> completed = new ArrayList<>();
        for (final Disturbance disturbance : Disturbance.values()) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final RolloutOutcome outcome = play(conduct, disturbance, seed);
                if (outcome.state() == RolloutState.COMPLETED) {
                    completed.add(disturbance + " " + seed + " " + outcome);
                }
            }
        }
        return completed;
    }

    /**
     * At 66 daemons a tenth of twelve seconds' requests is some hundred answers on three routes.
     */
    @Test
    void goodVersionIsCompletedInTime() {
        assertCompleted(DAEMONS);
    }

    @Test
    void goodVersionIsCompletedInTimeAtLargestSize() {
        assertCompleted(LARGEST);
    }

    private static void assertCompleted(final int daemons) {
        final RolloutScenario calm =
                RolloutScenario.ofSize(daemons, VersionBehavior.GOOD, Disturbance.NONE);
        for (int seed = 0; seed < SEEDS; seed++) {
            final RolloutOutcome outcome = RolloutSimulation.run(calm, seed);
            assertThat(outcome.state()).as(outcome.toString()).isEqualTo(RolloutState.COMPLETED);
            assertThat(outcome.decidedAfter()).isLessThan(calm.timeBudget());
        }
    }

    private static RolloutOutcome play(
            final VersionBehavior conduct, final Disturbance disturbance, final int seed) {
        return RolloutSimulation.run(RolloutScenario.ofSize(DAEMONS, conduct, disturbance), seed);
    }

    private static boolean isOverExposed(final RolloutOutcome outcome) {
        return outcome.isOverExposed(
                RolloutSimulation.LIMITS.exposureShare(), RolloutSimulation.LIMITS.exposureSlack());
    }
}
