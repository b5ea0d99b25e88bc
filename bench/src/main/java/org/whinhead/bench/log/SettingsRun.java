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

/** Times changes of settings from the operator's call until they are in force. */
final class SettingsRun {

    private static final int DAEMONS = 8;
    private static final int WARM_UP = 20;
    private static final int CHANGES = 200;
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final int DIGITS = 3;
    private static final String PATH = "/teams/clinics/customers/clinic";

    private SettingsRun() {}

    static void run(final BenchOptions options, final PrintStream out) throws Exception {
        try (LocalDeployment deployment =
                new LocalDeployment(LogConfig.DEFAULT, LogServiceSettings.DEFAULT)) {
            for (int i = 0; i < DAEMONS; i++) {
                deployment.startDaemon();
            }
            deployment.loadSettings();
            final Histogram answered = new Histogram(DIGITS);
            final Histogram everywhere = new Histogram(DIGITS);
            long base = deployment.settings(0, PATH).path("revision").asLong();
            for (int i = 0; i < WARM_UP + CHANGES; i++) {
                if (i == WARM_UP) {
                    answered.reset();
                    everywhere.reset();
                }
                base = change(deployment, i, base, answered, everywhere);
            }
            final FigureTable table =
                    new FigureTable("settings, 8 daemons", "p50, ms", "p99, ms", "changes");
            row(table, "answered", answered);
            row(table, "in force everywhere", everywhere);
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
            throw new IllegalStateException(answer.body());
        }
        final long revision = body.path("revision").asLong();
        for (int i = 0; i < DAEMONS; i++) {
            final int daemon = i;
            Await.until(
                    "in force",
                    BOUND,
                    () -> deployment.daemon(daemon).logSnapshot().revision() >= revision);
        }
        everywhere.recordValue(System.nanoTime() - start);
        return revision;
    }

    private static void row(final FigureTable table, final String label, final Histogram times) {
        table.add(
                label,
                millis(times.getValueAtPercentile(50)),
                millis(times.getValueAtPercentile(99)),
                times.getTotalCount());
    }

    static double millis(final long nanos) {
        return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
