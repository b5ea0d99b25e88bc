package org.whinhead.bench.days;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.serving.rollout.RolloutState;
import org.whinhead.simulation.rollout.Disturbance;
import org.whinhead.simulation.rollout.RolloutOutcome;
import org.whinhead.simulation.rollout.RolloutScenario;
import org.whinhead.simulation.rollout.RolloutSimulation;
import org.whinhead.simulation.rollout.VersionBehavior;

/**
 * Measures the outcomes of simulated roll-outs of good and bad versions, under disturbances and at
 * several fleet sizes. Compares the default evidence reports with evidence carried in the daemons'
 * regular reports.
 */
public final class RolloutDaysBenchmark implements Benchmark {

    private static final int SEEDS = 100;
    private static final int[] SIZES = {6, 66, 330};

    /** Milliseconds by which each daemon lengthens the interval of the regular reports. */
    private static final int REGULAR_INTERVAL_MILLIS_PER_DAEMON = 22;

    @Override
    public String name() {
        return "rollout-days";
    }

    @Override
    public String description() {
        return "roll-outs of good and bad versions under disturbances, 6 to 330 daemons";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        for (final int daemons : SIZES) {
            final FigureTable table =
                    new FigureTable(
                            daemons + " daemons, " + SEEDS + " seeds a row",
                            "completed",
                            "over exposed",
                            "exposed/allowed",
                            "ended after s");
            for (final VersionBehavior behavior : VersionBehavior.values()) {
                for (final Disturbance disturbance : Disturbance.values()) {
                    final RolloutScenario scenario =
                            RolloutScenario.ofSize(daemons, behavior, disturbance);
                    addRow(table, behavior + ", " + disturbance, scenario, options.seed());
                }
                final Duration regularInterval =
                        Duration.ofMillis(
                                Math.max(200, REGULAR_INTERVAL_MILLIS_PER_DAEMON * daemons));
                addRow(
                        table,
                        behavior + ", evidence in the usual reports",
                        RolloutScenario.ofSize(daemons, behavior, Disturbance.NONE)
                                .withEvidencePace(regularInterval),
                        options.seed());
            }
            table.print(options, out);
        }
    }

    private static void addRow(
            final FigureTable table,
            final String label,
            final RolloutScenario scenario,
            final long seed) {
        final List<RolloutOutcome> outcomes = new ArrayList<>();
        for (int index = 0; index < SEEDS; index++) {
            outcomes.add(RolloutSimulation.run(scenario, seed + index));
        }
        table.add(
                label,
                share(outcomes, outcome -> outcome.state() == RolloutState.COMPLETED),
                share(outcomes, RolloutDaysBenchmark::isOverExposed),
                outcomes.stream()
                        .mapToDouble(RolloutDaysBenchmark::exposedPerAllowed)
                        .max()
                        .orElseThrow(),
                outcomes.stream()
                        .mapToDouble(outcome -> outcome.decidedAfter().toMillis() / 1e3)
                        .average()
                        .orElseThrow());
    }

    private static double share(
            final List<RolloutOutcome> outcomes, final Predicate<RolloutOutcome> condition) {
        return (double) outcomes.stream().filter(condition).count() / outcomes.size();
    }

    private static boolean isOverExposed(final RolloutOutcome outcome) {
        return outcome.isOverExposed(
                RolloutSimulation.LIMITS.exposureShare(), RolloutSimulation.LIMITS.exposureSlack());
    }

    private static double exposedPerAllowed(final RolloutOutcome outcome) {
        return outcome.exposed()
                / (RolloutSimulation.LIMITS.exposureShare() * outcome.requests()
                        + RolloutSimulation.LIMITS.exposureSlack());
    }
}
