package org.whinhead.bench.capacity;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;

/** Prints each series as text or as one line of JSON. */
final class SeriesPrinter {

    private final BenchOptions mOptions;
    private final PrintStream mOut;

    SeriesPrinter(final BenchOptions options, final PrintStream out) {
        mOptions = options;
        mOut = out;
    }

    void print(final Series... all) {
        for (final Series series : all) {
            mOut.println(mOptions.json() ? series.toJson() : series.toText());
        }
    }
}
