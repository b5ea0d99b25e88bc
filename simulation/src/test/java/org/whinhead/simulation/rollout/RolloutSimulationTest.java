package org.whinhead.simulation.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.whinhead.serving.rollout.RolloutState;

/**
 * Guards against a bad new version that fails too many requests: it must be rolled back before it
 * received more than a tenth of all requests plus fifty, whatever happens to the daemons. The
 * limits are the users'; the time budget of twelve seconds is that of the platform's example.
 */
class RolloutSimulationTest {

    private static final int SEEDS = 6;
    private static final int DAEMONS = 66;
    private static final int MOST_DAEMONS = 330;

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void badVersionStaysWithinExposureLimit(final Disturbance disturbance) {
        final List<String> overExposed = new ArrayList<>();
        for (final VersionBehavior behavior : VersionBehavior.values()) {
            for (int seed = 0; behavior.isBad() && seed < SEEDS; seed++) {
                final RolloutOutcome outcome = simulate(behavior, disturbance, seed);
                if (isOverExposed(outcome)) {
                    overExposed.add(behavior + " " + seed + " " + outcome);
                }
            }
        }
        assertThat(overExposed).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = VersionBehavior.class,
            names = {"BAD_AT_ONCE", "BAD_LATER", "SLOW"})
    void versionWithFrequentFaultsIsNeverCompleted(final VersionBehavior behavior) {
        assertThat(completed(behavior)).isEmpty();
    }

    /**
     * A fault on one of three routes, or only under load, affects at most a third of the answers.
     */
    @ParameterizedTest
    @EnumSource(
            value = VersionBehavior.class,
            names = {"BAD_UNDER_LOAD", "BAD_ON_ONE_ROUTE"})
    void versionWithRareFaultsIsNeverCompleted(final VersionBehavior behavior) {
        assertThat(completed(behavior)).isEmpty();
    }

    private static List<String> completed(final VersionBehavior behavior) {
        final List<String> completed = new ArrayList<>();
        for (final Disturbance disturbance : Disturbance.values()) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final RolloutOutcome outcome = simulate(behavior, disturbance, seed);
                if (outcome.state() == RolloutState.COMPLETED) {
                    completed.add(disturbance + " " + seed + " " + outcome);
                }
            }
        }
        return completed;
    }

    /**
     * At 66 daemons, a tenth of the requests of twelve seconds is about a hundred on three routes.
     */
    @Test
    void goodVersionIsCompletedInTime() {
        assertCompleted(DAEMONS);
    }

    @Test
    void goodVersionIsCompletedInTimeAtLargestSize() {
        assertCompleted(MOST_DAEMONS);
    }

    private static void assertCompleted(final int daemons) {
        final RolloutScenario scenario =
                RolloutScenario.ofSize(daemons, VersionBehavior.GOOD, Disturbance.NONE);
        for (int seed = 0; seed < SEEDS; seed++) {
            final RolloutOutcome outcome = RolloutSimulation.run(scenario, seed);
            assertThat(outcome.state()).as(outcome.toString()).isEqualTo(RolloutState.COMPLETED);
            assertThat(outcome.decidedAfter()).isLessThan(scenario.timeBudget());
        }
    }

    private static RolloutOutcome simulate(
            final VersionBehavior behavior, final Disturbance disturbance, final int seed) {
        return RolloutSimulation.run(RolloutScenario.ofSize(DAEMONS, behavior, disturbance), seed);
    }

    private static boolean isOverExposed(final RolloutOutcome outcome) {
        return outcome.isOverExposed(
                RolloutSimulation.LIMITS.exposureShare(), RolloutSimulation.LIMITS.exposureSlack());
    }
}
