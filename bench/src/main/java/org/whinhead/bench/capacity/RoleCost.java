package org.whinhead.bench.capacity;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;

/** A benchmark of the cost of one daemon role at several sizes, with a linear fit of each cost. */
abstract class RoleCost implements Benchmark {

    @Override
    public final void run(final BenchOptions options, final PrintStream out) {
        measure(new Meter(), options.seed(), new SeriesPrinter(options, out));
    }

    /**
     * Measures the role and prints its series.
     *
     * @param meter measures processor time and memory
     * @param seed seed of all random generators
     * @param out prints the series
     */
    abstract void measure(Meter meter, long seed, SeriesPrinter out);
}
