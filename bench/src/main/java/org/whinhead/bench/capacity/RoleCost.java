package org.whinhead.bench.capacity;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;

/** What one role of a daemon costs at several sizes, with a line through each cost. */
abstract class RoleCost implements Benchmark {

    @Override
    public final void run(final BenchOptions options, final PrintStream out) {
        measure(new Meter(), options.seed(), new SeriesPrinter(options, out));
    }

    /**
     * Measures the role.
     *
     * @param meter measures
     * @param seed the seed of all chance
     * @param out where the figures go
     */
    abstract void measure(Meter meter, long seed, SeriesPrinter out);
}
