package org.whinhead.bench.capacity;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;

/** Where the series of a run go, as text or a line of JSON for each. */
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
