package org.whinhead.bench.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.FigureTable;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.demo.Await;
import org.whinhead.demo.LocalDeployment;
import org.whinhead.standins.log.LogConfig;

/** Measures the time from an operator's settings change until it is in force on all daemons. */
final class SettingsRun {

    private static final int DAEMONS = 8;
    private static final int WARM_UP_CHANGES = 20;
    private static final int CHANGES = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String PATH = "/teams/clinics/customers/clinic";

    private SettingsRun() {}

    static void run(final BenchOptions options, final PrintStream out) throws Exception {
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            for (int i = 0; i < DAEMONS; i++) {
                deployment.startDaemon();
            }
            deployment.loadSettings();
            final Histogram answered = new Histogram(SIGNIFICANT_DIGITS);
            final Histogram everywhere = new Histogram(SIGNIFICANT_DIGITS);
            long base = deployment.settings(0, PATH).path("revision").asLong();
            for (int i = 0; i < WARM_UP_CHANGES + CHANGES; i++) {
                if (i == WARM_UP_CHANGES) {
                    answered.reset();
                    everywhere.reset();
                }
                base = change(deployment, i, base, answered, everywhere);
            }
            final FigureTable table =
                    new FigureTable("settings, 8 daemons", "p50, ms", "p99, ms", "changes");
            addRow(table, "answered", answered);
            addRow(table, "in force everywhere", everywhere);
            table.print(options, out);
        }
    }

    private static long change(
            final LocalDeployment deployment,
            final int number,
            final long base,
            final Histogram answered,
            final Histogram everywhere)
            throws Exception {
        final long start = System.nanoTime();
        final HttpResponse<String> answer =
                deployment.putDocument(
                        number % DAEMONS,
                        "change-" + number,
                        PATH,
                        base,
                        LocalDeployment.customerDocument(LocalDeployment.KEY));
        answered.recordValue(System.nanoTime() - start);
        final JsonNode body = new ObjectMapper().readTree(answer.body());
        if (!body.path("revision").isIntegralNumber()) {
            throw new IllegalStateException("settings change failed: " + answer.body());
        }
        final long revision = body.path("revision").asLong();
        for (int i = 0; i < DAEMONS; i++) {
            final int daemon = i;
            Await.until(
                    "in force",
                    TIMEOUT,
                    () -> deployment.daemon(daemon).logSnapshot().revision() >= revision);
        }
        everywhere.recordValue(System.nanoTime() - start);
        return revision;
    }

    private static void addRow(final FigureTable table, final String label, final Histogram times) {
        table.add(
                label,
                toMillis(times.getValueAtPercentile(50)),
                toMillis(times.getValueAtPercentile(99)),
                times.getTotalCount());
    }

    static double toMillis(final long nanos) {
        return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
