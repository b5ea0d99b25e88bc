package org.whinhead.bench.routing;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.routing.RoutingStrategy;

/** Compares routing strategies under the same simulated traffic, and their decision rates. */
public final class RoutingBenchmark implements Benchmark {

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String description() {
        return "strategies under the same traffic: p95 first token, cache hits, computed tokens";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        final FigureTable figures =
                new FigureTable(
                        "strategy",
                        "finished",
                        "p95-first-ms",
                        "hit-share",
                        "tokens/request",
                        "p95/random",
                        "tokens/random");
        final RoutingRun.Outcome random = RoutingRun.run(RoutingStrategy.RANDOM, options.seed());
        for (final RoutingStrategy strategy : RoutingStrategy.values()) {
            final RoutingRun.Outcome outcome =
                    strategy == RoutingStrategy.RANDOM
                            ? random
                            : RoutingRun.run(strategy, options.seed());
            figures.add(
                    strategy.name(),
                    outcome.finished(),
                    outcome.firstTokenMillis(),
                    outcome.hitShare(),
                    outcome.computedTokens(),
                    outcome.firstTokenMillis() / random.firstTokenMillis(),
                    outcome.computedTokens() / random.computedTokens());
        }
        figures.print(options, out);
        printRates(options, out);
    }

    private static void printRates(final BenchOptions options, final PrintStream out) {
        final FigureTable rates =
                new FigureTable(
                        DecisionRate.ENDPOINTS + " endpoints", "decisions/s", "against-random");
        double random = 0;
        for (final RoutingStrategy strategy : RoutingStrategy.values()) {
            final double rate = DecisionRate.measure(strategy, options.seed());
            random = strategy == RoutingStrategy.RANDOM ? rate : random;
            rates.add(strategy.name(), rate, rate / random);
        }
        final double unshared =
                DecisionRate.measureWithoutSharedPrefixes(RoutingStrategy.AFFINITY, options.seed());
        rates.add("AFFINITY, none shared", unshared, unshared / random);
        rates.print(options, out);
    }
}
