package org.whinhead.bench.retries;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;

/**
 * Compares retry variants while half of the engines fail for 30 s with three kinds of faults. Each
 * variant other than the default changes one or more settings.
 */
public final class RetriesBenchmark implements Benchmark {

    private static final double[] LOADS_PER_SECOND = {12, 30};

    @Override
    public String name() {
        return "retries";
    }

    @Override
    public String description() {
        return "an outage of 30 s at half of the engines: load, goodput and recovery by idea";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        for (final double perSecond : LOADS_PER_SECOND) {
            final FigureTable figures =
                    new FigureTable(
                            perSecond + " calls/s",
                            "dispatches/call",
                            "tries/call",
                            "tokens/answer",
                            "in time/s",
                            "answered",
                            "recovery s");
            for (final RetryVariant variant : RetryVariant.values()) {
                final OutageMetrics metrics = OutageRun.of(variant, perSecond, options.seed());
                figures.add(
                        variant.label(),
                        metrics.dispatchesPerCall(),
                        metrics.triesPerCall(),
                        metrics.tokensPerAnswer(),
                        metrics.goodput(),
                        metrics.answeredShare(),
                        metrics.secondsToRecover());
            }
            figures.print(options, out);
        }
    }
}
