package org.whinhead.bench.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.FigureTable;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.demo.LocalDeployment;
import org.whinhead.standins.log.LogConfig;

/** Measures the latency of calls that need a claim and of the same calls without one. */
final class ClaimsRun {

    private static final int DAEMONS = 8;
    private static final int[] CALLER_COUNTS = {1, 8, 64};
    private static final int CALLS_PER_CALLER = 60;
    private static final int WARM_UP_CALLS = 10;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;

    private ClaimsRun() {}

    static void run(final BenchOptions options, final PrintStream out) throws Exception {
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            for (int i = 0; i < DAEMONS; i++) {
                deployment.startDaemon();
            }
            deployment.loadSettings();
            final FigureTable table =
                    new FigureTable("calls, 8 daemons", "p50, ms", "p99, ms", "a second", "failed");
            measure(deployment, "warm-up", CALLER_COUNTS[1], WARM_UP_CALLS);
            for (final int callers : CALLER_COUNTS) {
                addRow(
                        table,
                        callers + " without claim",
                        measure(deployment, "status", callers, 0));
                addRow(table, callers + " with claim", measure(deployment, "claims", callers, 0));
            }
            table.print(options, out);
        }
    }

    private static void addRow(final FigureTable table, final String label, final Result result) {
        table.add(
                label,
                SettingsRun.toMillis(result.times().getValueAtPercentile(50)),
                SettingsRun.toMillis(result.times().getValueAtPercentile(99)),
                result.times().getTotalCount() / result.seconds(),
                result.failed());
    }

    private static Result measure(
            final LocalDeployment deployment, final String path, final int callers, final int calls)
            throws Exception {
        final ExecutorService pool = Executors.newFixedThreadPool(callers);
        try {
            final Histogram times = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
            final List<Future<Integer>> running = new ArrayList<>();
            final int callsPerCaller = calls > 0 ? calls : CALLS_PER_CALLER;
            final long start = System.nanoTime();
            for (int i = 0; i < callers; i++) {
                final int caller = i;
                final String name = path + "-" + callers + "-" + caller;
                running.add(
                        pool.submit(
                                () -> call(deployment, path, caller, name, callsPerCaller, times)));
            }
            int failed = 0;
            for (final Future<Integer> future : running) {
                failed += future.get();
            }
            final double seconds =
                    (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
            return new Result(times, seconds, failed);
        } finally {
            pool.shutdown();
        }
    }

    private static int call(
            final LocalDeployment deployment,
            final String path,
            final int caller,
            final String name,
            final int calls,
            final Histogram times)
            throws Exception {
        int failed = 0;
        for (int i = 0; i < calls; i++) {
            final long start = System.nanoTime();
            final int status =
                    deployment.callService(caller % DAEMONS, path, name + "-" + i).statusCode();
            if (status == OK) {
                times.recordValue(System.nanoTime() - start);
            } else {
                failed++;
            }
        }
        return failed;
    }

    private record Result(Histogram times, double seconds, int failed) {}
}
