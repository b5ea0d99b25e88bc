package org.whinhead.bench.overhead;

import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.demo.LocalDeployment;
import org.whinhead.standins.log.LogConfig;

/**
 * Calls a plain service directly and through one daemon, alternating within the run. Measures the
 * latency that the daemon adds at a constant rate, and its maximum throughput.
 */
public final class OverheadBenchmark implements Benchmark {

    private static final int RATE = 500;
    private static final int IN_PROGRESS = 32;
    private static final int REPETITIONS = 3;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration TURN = Duration.ofSeconds(4);

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String description() {
        return "time that a daemon adds to a request, and the most requests a second it carries";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            deployment.startDaemon();
            deployment.loadSettings();
            measure(deployment, options, out);
        } catch (final Exception e) {
            throw new IllegalStateException("the deployment could not be started", e);
        }
    }

    private static void measure(
            final LocalDeployment deployment, final BenchOptions options, final PrintStream out) {
        final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        final URI daemon = deployment.daemon(0).callerUri().resolve("/v1/services/filing/status");
        final LoadGenerator direct =
                new LoadGenerator(
                        client, deployment.serviceUri().resolve("/status"), LocalDeployment.KEY);
        final LoadGenerator through = new LoadGenerator(client, daemon, LocalDeployment.KEY);
        direct.runClosedLoop(IN_PROGRESS, WARM_UP);
        through.runClosedLoop(IN_PROGRESS, WARM_UP);
        measureLatency(direct, through, options, out);
        measureThroughput(direct, through, options, out);
    }

    private static void measureLatency(
            final LoadGenerator direct,
            final LoadGenerator through,
            final BenchOptions options,
            final PrintStream out) {
        final FigureTable table =
                new FigureTable(
                        "at " + RATE + " requests/s",
                        "p50 direct ms",
                        "p50 daemon ms",
                        "p50 added ms",
                        "p99 direct ms",
                        "p99 daemon ms",
                        "p99 added ms",
                        "failed");
        for (int i = 1; i <= REPETITIONS; i++) {
            final LoadGenerator.Outcome a = direct.runOpenLoop(RATE, TURN);
            final LoadGenerator.Outcome b = through.runOpenLoop(RATE, TURN);
            table.add(
                    "run " + i,
                    a.millisAt(MEDIAN),
                    b.millisAt(MEDIAN),
                    b.millisAt(MEDIAN) - a.millisAt(MEDIAN),
                    a.millisAt(TAIL),
                    b.millisAt(TAIL),
                    b.millisAt(TAIL) - a.millisAt(TAIL),
                    a.failed() + b.failed());
        }
        table.print(options, out);
    }

    private static void measureThroughput(
            final LoadGenerator direct,
            final LoadGenerator through,
            final BenchOptions options,
            final PrintStream out) {
        final FigureTable table =
                new FigureTable(
                        IN_PROGRESS + " in progress",
                        "direct req/s",
                        "daemon req/s",
                        "ratio",
                        "direct failed",
                        "daemon failed");
        for (int i = 1; i <= REPETITIONS; i++) {
            final LoadGenerator.Outcome a = direct.runClosedLoop(IN_PROGRESS, TURN);
            final LoadGenerator.Outcome b = through.runClosedLoop(IN_PROGRESS, TURN);
            table.add(
                    "run " + i,
                    a.perSecond(),
                    b.perSecond(),
                    b.perSecond() / a.perSecond(),
                    a.failed(),
                    b.failed());
        }
        table.print(options, out);
    }
}
