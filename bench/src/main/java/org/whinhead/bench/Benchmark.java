package org.whinhead.bench;

import java.io.PrintStream;

/** A benchmark that prints ratios against baselines of the same run. */
public interface Benchmark {

    /** Returns the benchmark's name on the command line. */
    String name();

    /** Returns a one-line description of the measured quantities. */
    String description();

    /**
     * Runs the benchmark and prints its figures.
     *
     * @param options seed and output format
     * @param out receives the figures
     */
    void run(BenchOptions options, PrintStream out);
}
