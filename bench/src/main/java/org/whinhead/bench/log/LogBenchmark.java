package org.whinhead.bench.log;

import java.io.PrintStream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;

/** Measures settings changes, claims and lease failover through whole daemons in one process. */
public final class LogBenchmark implements Benchmark {

    @Override
    public String name() {
        return "log";
    }

    @Override
    public String description() {
        return "settings in force on 8 daemons, claims, and the take-over of leases";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        try {
            SettingsRun.run(options, out);
            ClaimsRun.run(options, out);
            LeaseRun.run(options, out);
        } catch (final Exception e) {
            throw new IllegalStateException("log benchmark failed", e);
        }
    }
}
