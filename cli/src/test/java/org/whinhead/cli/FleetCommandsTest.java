package org.whinhead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.report.BurnRecorder;
import org.whinhead.report.DaemonReportJson;
import org.whinhead.report.Objective;
import org.whinhead.report.Outcome;
import org.whinhead.report.RequestSample;
import org.whinhead.report.SeriesKey;

final class FleetCommandsTest {

    private static final Instant NOW = Instant.parse("2026-12-02T16:30:00Z");
    private static final String FIRST = "http://127.0.0.1:7001";
    private static final String SECOND = "http://127.0.0.1:7011";
    private static final String THIRD = "http://127.0.0.1:7021";

    private final FakeDaemon mFirst = new FakeDaemon();
    private final FakeDaemon mSecond = new FakeDaemon();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    @TempDir private Path mFolder;

    @AfterEach
    void stop() {
        mFirst.close();
        mSecond.close();
    }

    // Both daemons respond; the operator address of the second one comes from the address list.
    @Test
    void completeReportSumsAllDaemons() {
        mFirst.respondWith(200, addresses(entry(FIRST, ""), entry(SECOND, mSecond.uri())))
                .respondWith(200, counts("d1", FIRST));
        mSecond.respondWith(200, counts("d2", SECOND));
        assertThat(run("report", "--price-per-hour", "12")).isEqualTo(0);
        assertThat(out())
                .contains("1 h    tier court: completed 2, generated 20 tokens, recomputed 4\n")
                .contains("cost of 1,000 completed requests over 1 h: 6000.0000\n")
                .contains("collected from: d1, d2\n")
                .doesNotContain("NOT collected");
        assertThat(mSecond.requests()).containsExactly("GET /operator/burn null");
    }

    // Guards against a partial report that looks complete during an outage: one daemon refuses the
    // key, and the operator address of another is unknown. The report names both with the cause,
    // and the exit code is 1.
    @Test
    void partialReportNamesMissingDaemons() throws IOException {
        mFirst.respondWith(
                        200,
                        addresses(entry(FIRST, ""), entry(SECOND, mSecond.uri()), entry(THIRD, "")))
                .respondWith(200, counts("d1", FIRST));
        mSecond.respondWith(401, "{\"message\": \"the key is not known\"}");
        final Path page = mFolder.resolve("burn.html");
        assertThat(run("report", "--format", "html", "--out", page.toString())).isEqualTo(1);
        final String refused =
                SECOND + ", called at " + mSecond.uri() + ": status 401 the key is not known";
        final String unknown = THIRD + ": operator address unknown; name it with --daemon";
        assertThat(err())
                .isEqualTo(
                        String.format(
                                "Written to %s%nNot collected: %s%nNot collected: %s%n",
                                page, refused, unknown));
        assertThat(Files.readString(page)).contains(refused).contains("Not collected: 2");
    }

    @Test
    void reportWithoutAnyCountsFails() {
        mFirst.respondWith(200, addresses(entry(FIRST, ""))).respondWith(200, "{\"columns\": []}");
        assertThat(run("report")).isEqualTo(3);
        assertThat(err()).contains("not a burn report: columns []");
        assertThat(run("report", "--format", "pdf")).isEqualTo(2);
        assertThat(run("report", "--price-per-hour", "-1")).isEqualTo(2);
    }

    // A request was handed over when its daemon stopped, so each daemon has one of its decisions.
    @Test
    void explainShowsTheDecisionsOfAllDaemonsInOrder() {
        mFirst.respondWith(200, addresses(entry(FIRST, ""), entry(SECOND, mSecond.uri())))
                .respondWith(200, decision("2026-12-02T16:30:02Z", "resumed"));
        mSecond.respondWith(200, decision("2026-12-02T16:30:01Z", "handed-back"));
        assertThat(run("explain", "case 12")).isEqualTo(0);
        assertThat(out().lines().map(line -> line.replaceAll(" +", " ")).toList())
                .containsExactly(
                        "AT DAEMON ATTEMPT KIND ENDPOINT CAUSE",
                        "2026-12-02T16:30:01Z " + mSecond.uri() + " 1 handed-back engine-1 -",
                        "2026-12-02T16:30:02Z " + mFirst.uri() + " 1 resumed engine-1 -");
        assertThat(mSecond.requests()).containsExactly("GET /operator/explain?id=case+12 null");
    }

    @Test
    void explainNamesMissingDaemons() {
        mFirst.respondWith(200, addresses(entry(FIRST, ""), entry(SECOND, mSecond.uri())))
                .respondWith(404, "{\"message\": \"none\"}");
        mSecond.closeConnection();
        assertThat(run("explain", "r")).isEqualTo(1);
        assertThat(err())
                .startsWith("Not collected: " + mSecond.uri() + ": ")
                .endsWith("No daemon that responded has a decision about r\n");
    }

    private static String decision(final String at, final String kind) {
        return "{\"decisions\": [{\"at\": \""
                + at
                + "\", \"attempt\": 1, \"kind\": \""
                + kind
                + "\", \"endpoint\": \"engine-1\", \"cause\": null}]}";
    }

    private static String addresses(final String... entries) {
        return "{\"addresses\": [" + String.join(",", entries) + "]}";
    }

    private static String entry(final String uri, final String operatorUri) {
        return "{\"uri\": \"" + uri + "\", \"operatorUri\": \"" + operatorUri + "\"}";
    }

    private static String counts(final String daemon, final String address) {
        final BurnRecorder recorder =
                new BurnRecorder(
                        new DaemonId(daemon), URI.create(address), NOW.minus(Duration.ofHours(7)));
        final Duration second = Duration.ofSeconds(1);
        recorder.setObjectives(List.of(new Objective("court", 0.99, 0.95, second, second)));
        recorder.record(
                new RequestSample(
                        new SeriesKey(new CustomerId("clinic"), "court"),
                        Outcome.COMPLETED,
                        Optional.of(Duration.ofMillis(10)),
                        Optional.empty(),
                        10,
                        2,
                        NOW));
        return DaemonReportJson.write(recorder.report(NOW)).toString();
    }

    private int run(final String... line) {
        final List<String> words = new ArrayList<>(Arrays.asList(line));
        words.addAll(List.of("--daemon", mFirst.uri()));
        return Main.run(
                words.toArray(String[]::new),
                Map.of(),
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
