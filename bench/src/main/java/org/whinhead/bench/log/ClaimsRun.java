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

/** Times calls that need a claim beside the same calls without one. */
final class ClaimsRun {

    private static final int DAEMONS = 8;
    private static final int[] CALLERS = {1, 8, 64};
    private static final int CALLS_EACH = 60;
    private static final int WARM_UP = 10;
    private static final int DIGITS = 3;
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
            load(deployment, "warm-up", CALLERS[1], WARM_UP);
            for (final int callers : CALLERS) {
                add(table, callers + " without claim", load(deployment, "status", callers, 0));
                add(table, callers + " with claim", load(deployment, "claims", callers, 0));
            }
            table.print(options, out);
        }
    }

    private static void add(final FigureTable table, final String label, final Result result) {
        table.add(
                label,
                SettingsRun.millis(result.times().getValueAtPercentile(50)),
                SettingsRun.millis(result.times().getValueAtPercentile(99)),
                result.times().getTotalCount() / result.seconds(),
                result.failed());
    }

    private static Result load(
            final LocalDeployment deployment, final String path, final int callers, final int calls)
            throws Exception {
        final ExecutorService pool = Executors.newFixedThreadPool(callers);
        try {
            final Histogram times = new ConcurrentHistogram(DIGITS);
            final List<Future<Integer>> running = new ArrayList<>();
            final int each = calls > 0 ? calls : CALLS_EACH;
            final long start = System.nanoTime();
            for (int i = 0; i < callers; i++) {
                final int caller = i;
                final String name = path + "-" + callers + "-" + caller;
                running.add(pool.submit(() -> call(deployment, path, caller, name, each, times)));
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
