package org.whinhead.bench.days;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.serving.capacity.CapacitySettings;
import org.whinhead.simulation.capacity.CapacityDay;
import org.whinhead.simulation.capacity.CapacityOutcome;
import org.whinhead.simulation.capacity.CapacitySimulation;

/**
 * Compares capacity policies by value and cost on the simulated days in {@code
 * examples/simulation}: the default policy and variants with larger or smaller reserves.
 */
public final class CapacityDaysBenchmark implements Benchmark {

    private static final Path DAYS = Path.of("examples", "simulation");
    private static final int SEEDS = 5;

    /** A capacity policy with its row label. */
    private enum Policy {
        IN_FORCE("in force", CapacitySettings.usual()),
        NOTHING_SAFE("nothing safe in calm times", CapacitySettings.usual().surviving(0, 1)),
        ALL_SAFE("all safe at all times", CapacitySettings.usual().surviving(1, 1)),
        WAVES_ALIKE("a third safe in waves too", CapacitySettings.usual().surviving(0.34, 0.34)),
        ONE_LOSS("one more loss in waves", CapacitySettings.usual().lossesInWave(1)),
        NO_BURSTS("no reserve for bursts", CapacitySettings.usual().burstReserve(1)),
        BOTH_AS_BEFORE(
                "one loss, no bursts", CapacitySettings.usual().lossesInWave(1).burstReserve(1)),
        SMALL_RESERVE("reserve of 1.8", CapacitySettings.usual().reserve(1.8)),
        LARGE_RESERVE("reserve of 3.4", CapacitySettings.usual().reserve(3.4));

        private final String mLabel;
        private final CapacitySettings mSettings;

        Policy(final String label, final CapacitySettings.Builder settings) {
            mLabel = label;
            mSettings = settings.build();
        }
    }

    @Override
    public String name() {
        return "capacity-days";
    }

    @Override
    public String description() {
        return "policies of ordering endpoints on simulated days with reclaims, at several sizes";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        for (final CapacityDay day : days()) {
            final FigureTable table =
                    new FigureTable(
                            day.name(),
                            "whole day",
                            "worst seconds",
                            "paid/needed",
                            "value",
                            "spread");
            for (final Policy policy : Policy.values()) {
                addRow(table, day, policy, options.seed());
            }
            table.print(options, out);
        }
    }

    private static void addRow(
            final FigureTable table, final CapacityDay day, final Policy policy, final long seed) {
        final List<CapacityOutcome> outcomes = new ArrayList<>();
        for (int index = 0; index < SEEDS; index++) {
            outcomes.add(CapacitySimulation.run(day, policy.mSettings, seed + index));
        }
        final double max =
                outcomes.stream().mapToDouble(CapacityOutcome::score).max().orElseThrow();
        final double min =
                outcomes.stream().mapToDouble(CapacityOutcome::score).min().orElseThrow();
        table.add(
                policy.mLabel,
                mean(outcomes, CapacityOutcome::wholeDay),
                mean(outcomes, CapacityOutcome::worstWindows),
                mean(outcomes, CapacityOutcome::paidPerNeeded),
                mean(outcomes, CapacityOutcome::score),
                max - min);
    }

    private static double mean(
            final List<CapacityOutcome> outcomes, final ToDoubleFunction<CapacityOutcome> figure) {
        return outcomes.stream().mapToDouble(figure).average().orElseThrow();
    }

    private static List<CapacityDay> days() {
        final List<CapacityDay> days = new ArrayList<>();
        try (var files = Files.list(DAYS)) {
            for (final Path file : files.sorted().toList()) {
                days.add(CapacityDay.read(file));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the simulated days", e);
        }
        return days;
    }
}
