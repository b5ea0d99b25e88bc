package org.whinhead.bench.waves;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.demo.DemoConfig;
import org.whinhead.demo.DemoLogs;
import org.whinhead.demo.DemoResult;
import org.whinhead.demo.DemoRun;
import org.whinhead.requests.RecoveryMode;
import org.whinhead.settings.SettingsException;
import org.whinhead.standins.load.mix.Deployment;

/** Reclaims failure domains of whole deployments with and without notice. */
public final class WavesBenchmark implements Benchmark {

    private static final int WAVES = 3;
    private static final int PER_SECOND = 14;
    private static final Duration LOAD = Duration.ofSeconds(12);
    private static final List<Duration> NOTICES = List.of(Duration.ofSeconds(3), Duration.ZERO);

    @Override
    public String name() {
        return "waves";
    }

    @Override
    public String description() {
        return "reclaim of a failure domain with and without notice, against starting over";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        DemoLogs.toStandardError();
        final FigureTable table =
                new FigureTable(
                        "deployment, notice, recovery",
                        "requests",
                        "completed",
                        "recomputed",
                        "% of generated",
                        "/ start over",
                        "p95 first ms",
                        "p95 between ms",
                        "cost/1000",
                        "lost",
                        "doubled",
                        "wrong");
        for (final Deployment deployment : Deployment.values()) {
            for (final Duration notice : NOTICES) {
                final DemoConfig config = config(deployment, notice);
                final WaveTotals baseline = total(config, RecoveryMode.START_OVER, options.seed());
                final WaveTotals keepWork = total(config, RecoveryMode.KEEP_WORK, options.seed());
                final String label =
                        deployment.workload().name() + ' ' + notice.toSeconds() + " s ";
                table.add(label + "start over", baseline.figures(baseline));
                table.add(label + "keep work", keepWork.figures(baseline));
            }
        }
        table.print(options, out);
    }

    private static DemoConfig config(final Deployment deployment, final Duration notice) {
        return DemoConfig.of(deployment).toBuilder()
                .duration(LOAD)
                .requestsPerSecond(PER_SECOND)
                .notice(notice)
                .build();
    }

    private static WaveTotals total(
            final DemoConfig config, final RecoveryMode recovery, final long firstSeed) {
        final WaveTotals totals = new WaveTotals();
        for (int wave = 0; wave < WAVES; wave++) {
            totals.add(wave(config.toBuilder().recovery(recovery).seed(firstSeed + wave).build()));
        }
        return totals;
    }

    private static DemoResult wave(final DemoConfig config) {
        try {
            return DemoRun.run(config);
        } catch (final IOException | SettingsException | ExecutionException e) {
            throw new IllegalStateException("reclaim wave failed", e);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("reclaim wave was interrupted", e);
        }
    }
}
