package org.whinhead.bench.retries;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;

/** Half of the engines fail for 30 s, in three ways; each idea on retries is switched off once. */
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
            for (final RetryVariant ideas : RetryVariant.values()) {
                final OutageMetrics outcome = OutageRun.of(ideas, perSecond, options.seed());
                figures.add(
                        ideas.label(),
                        outcome.dispatchesPerCall(),
                        outcome.triesPerCall(),
                        outcome.tokensPerAnswer(),
                        outcome.goodput(),
                        outcome.answeredShare(),
                        outcome.secondsToRecover());
            }
            figures.print(options, out);
        }
    }
}
