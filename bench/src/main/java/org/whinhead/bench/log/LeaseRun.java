package org.whinhead.bench.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.FigureTable;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.demo.Await;
import org.whinhead.demo.LocalDeployment;
import org.whinhead.standins.log.LogConfig;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.lease.LeaseState;

/** Measures how long a duty has no lease holder after its holder stopped or crashed. */
final class LeaseRun {

    private static final int ROUNDS = 5;
    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final int SIGNIFICANT_DIGITS = 3;

    private LeaseRun() {}

    static void run(final BenchOptions options, final PrintStream out) throws Exception {
        final Histogram stopped = new Histogram(SIGNIFICANT_DIGITS);
        final Histogram crashed = new Histogram(SIGNIFICANT_DIGITS);
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            for (int i = 0; i < 2 * ROUNDS + 2; i++) {
                deployment.startDaemon();
            }
            deployment.loadSettings();
            for (int i = 0; i < ROUNDS; i++) {
                stopped.recordValue(measureFailover(deployment, true));
                crashed.recordValue(measureFailover(deployment, false));
            }
        }
        final FigureTable table =
                new FigureTable("lease take-over", "least, ms", "p50, ms", "most, ms", "rounds");
        addRow(table, "holder stopped", stopped);
        addRow(table, "holder crashed", crashed);
        table.print(options, out);
    }

    /** Ends the lease holder and returns the nanoseconds until another daemon holds the lease. */
    private static long measureFailover(final LocalDeployment deployment, final boolean gracefully)
            throws Exception {
        Await.until("the duty is held", TIMEOUT, () -> findHolder(deployment).isPresent());
        final int holder = findHolder(deployment).orElseThrow();
        final long start = System.nanoTime();
        if (gracefully) {
            deployment.stop(holder);
        } else {
            deployment.crash(holder);
        }
        Await.until(
                "another daemon holds the duty",
                TIMEOUT,
                () -> findHolder(deployment).filter(now -> now != holder).isPresent());
        return System.nanoTime() - start;
    }

    /** Returns the index of the lease holder according to the daemon with the newest log state. */
    private static Optional<Integer> findHolder(final LocalDeployment deployment) {
        final Daemon newest =
                IntStream.range(0, deployment.daemonCount())
                        .mapToObj(deployment::daemon)
                        .max((a, b) -> Long.compare(position(a), position(b)))
                        .orElseThrow();
        final Optional<LeaseState> lease =
                Optional.ofNullable(
                                newest.logSnapshot()
                                        .fold()
                                        .state()
                                        .leases()
                                        .get(CheckpointPublisher.DUTY))
                        .filter(state -> !state.released());
        return lease.flatMap(
                held ->
                        IntStream.range(0, deployment.daemonCount())
                                .filter(i -> deployment.daemon(i).id().equals(held.holder()))
                                .boxed()
                                .findFirst());
    }

    private static long position(final Daemon daemon) {
        return daemon.logSnapshot().fold().state().asOf();
    }

    private static void addRow(final FigureTable table, final String label, final Histogram times) {
        table.add(
                label,
                SettingsRun.toMillis(times.getMinValue()),
                SettingsRun.toMillis(times.getValueAtPercentile(50)),
                SettingsRun.toMillis(times.getMaxValue()),
                times.getTotalCount());
    }
}
