package org.whinhead.bench;

import java.io.PrintStream;

/** One benchmark; it prints ratios against baselines of the same run. */
public interface Benchmark {

    /** Returns the name that the command line takes. */
    String name();

    /** Returns what is measured, in one line. */
    String description();

    /**
     * Runs it.
     *
     * @param options the seed and the form of the output
     * @param out where the figures go
     */
    void run(BenchOptions options, PrintStream out);
}
