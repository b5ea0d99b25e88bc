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

/** Times how long a duty is without a holder after its holder stopped or crashed. */
final class LeaseRun {

    private static final int ROUNDS = 5;
    private static final Duration BOUND = Duration.ofSeconds(40);
    private static final int DIGITS = 3;

    private LeaseRun() {}

    static void run(final BenchOptions options, final PrintStream out) throws Exception {
        final Histogram stopped = new Histogram(DIGITS);
        final Histogram crashed = new Histogram(DIGITS);
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            for (int i = 0; i < 2 * ROUNDS + 2; i++) {
                deployment.startDaemon();
            }
            deployment.loadSettings();
            for (int i = 0; i < ROUNDS; i++) {
                stopped.recordValue(takeOver(deployment, true));
                crashed.recordValue(takeOver(deployment, false));
            }
        }
        final FigureTable table =
                new FigureTable("lease take-over", "least, ms", "p50, ms", "most, ms", "rounds");
        row(table, "holder stopped", stopped);
        row(table, "holder crashed", crashed);
        table.print(options, out);
    }

    /** Ends the holder and returns how long it took until another daemon held the duty. */
    private static long takeOver(final LocalDeployment deployment, final boolean gracefully)
            throws Exception {
        Await.until("the duty is held", BOUND, () -> holder(deployment).isPresent());
        final int holder = holder(deployment).orElseThrow();
        final long start = System.nanoTime();
        if (gracefully) {
            deployment.stop(holder);
        } else {
            deployment.crash(holder);
        }
        Await.until(
                "another daemon holds the duty",
                BOUND,
                () -> holder(deployment).filter(now -> now != holder).isPresent());
        return System.nanoTime() - start;
    }

    /** Returns the daemon that holds the duty, as the newest fold among the daemons has it. */
    private static Optional<Integer> holder(final LocalDeployment deployment) {
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

    private static void row(final FigureTable table, final String label, final Histogram times) {
        table.add(
                label,
                SettingsRun.millis(times.getMinValue()),
                SettingsRun.millis(times.getValueAtPercentile(50)),
                SettingsRun.millis(times.getMaxValue()),
                times.getTotalCount());
    }
}
