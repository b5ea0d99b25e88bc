package org.whinhead.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;

/** Guards against wrong burn rates, unreported gaps in the counts and unescaped names. */
class FleetReportTest {

    private static final Instant NOW = Instant.parse("2026-12-02T16:30:00Z");
    private static final SeriesKey CLINIC = new SeriesKey(new CustomerId("clinic"), "court");
    private static final Objective COURT =
            new Objective("court", 0.99, 0.95, Duration.ofMillis(1400), Duration.ofMillis(72));
    private static final double TOLERANCE = 1e-9;

    @Test
    void missesEqualToAllowanceHaveBurnRateOfOne() {
        final BurnRecorder recorder = recorder("d1");
        for (int index = 0; index < 99; index++) {
            recorder.record(sample(Outcome.COMPLETED, 100, NOW));
        }
        recorder.record(sample(Outcome.REFUSED_NOT_RUN, 100, NOW));

        final FleetReport.Line line = merge(recorder.report(NOW)).lines().get(0);

        assertThat(line.burnRate(ServiceLevelIndicator.AVAILABILITY, Window.SHORT))
                .isEqualTo(1, within(TOLERANCE));
    }

    // Guards against an alert about an outage of an hour ago, counted into the last five minutes.
    @Test
    void shortWindowExcludesOlderMisses() {
        final BurnRecorder recorder = recorder("d1");
        recorder.record(sample(Outcome.FAILED_MAY_HAVE_RUN, 100, NOW.minusSeconds(3_000)));
        recorder.record(sample(Outcome.COMPLETED, 100, NOW));

        final FleetReport.Line line = merge(recorder.report(NOW)).lines().get(0);

        assertThat(line.burnRate(ServiceLevelIndicator.AVAILABILITY, Window.SHORT)).isZero();
        assertThat(line.burnRate(ServiceLevelIndicator.AVAILABILITY, Window.MIDDLE))
                .isEqualTo(50, within(TOLERANCE));
    }

    @Test
    void callerFaultsDoNotCountTowardsAvailability() {
        final BurnRecorder recorder = recorder("d1");
        recorder.record(sample(Outcome.CALLER_FAULT, 100, NOW));
        recorder.record(sample(Outcome.CALLER_LEFT, 100, NOW));

        final FleetReport.Line line = merge(recorder.report(NOW)).lines().get(0);

        assertThat(line.windows().get(Window.SHORT).counted()).isZero();
    }

    @Test
    void mergedReportSumsDaemonsAndListsMissingOnes() {
        final BurnRecorder first = recorder("d1");
        final BurnRecorder second = recorder("d2");
        first.record(sample(Outcome.COMPLETED, 100, NOW));
        second.record(sample(Outcome.COMPLETED, 2_000, NOW));

        final FleetReport report = merge(first.report(NOW), second.report(NOW));

        final FleetReport.Line line = report.lines().get(0);
        assertThat(line.windows().get(Window.SHORT).counted()).isEqualTo(2);
        assertThat(line.burnRate(ServiceLevelIndicator.FIRST_TOKEN, Window.SHORT))
                .isEqualTo(10, within(TOLERANCE));
        assertThat(report.collected()).containsExactly("d1", "d2");
        assertThat(TextReport.write(report))
                .contains("NOT collected: d3: timed out")
                .contains("note: d1 counts only since 2026-12-02T16:00:00Z")
                .contains("recomputed 4 (20.00%)")
                .contains("cost of 1,000 completed requests over 1 h: 3000.0000");
        assertThat(JsonReport.write(report)).contains("\"missing\" : [ \"d3: timed out\" ]");
    }

    @Test
    void seriesBeyondBoundAreReportedAsLeftOut() {
        final BurnRecorder recorder = recorder("d1");
        for (int index = 0; index <= BurnRecorder.MAX_SERIES; index++) {
            final SeriesKey key = new SeriesKey(new CustomerId("c" + index), "court");
            recorder.record(
                    new RequestSample(
                            key, Outcome.COMPLETED, Optional.empty(), Optional.empty(), 0, 0, NOW));
        }

        assertThat(merge(recorder.report(NOW)).notes()).contains("d1 left out 1 requests");
    }

    @Test
    void pageIsSelfContainedAndEscapesNames() throws IOException {
        final BurnRecorder recorder = recorder("d1");
        final SeriesKey key = new SeriesKey(new CustomerId("<b>&co"), "court");
        recorder.record(
                new RequestSample(
                        key, Outcome.COMPLETED, Optional.empty(), Optional.empty(), 3, 0, NOW));

        final String page = HtmlReport.write(merge(recorder.report(NOW)));

        assertThat(page).contains("&lt;b&gt;&amp;co").contains("data:image/png;base64,");
        assertThat(page)
                .doesNotContain("<b>&co")
                .doesNotContain("http://")
                .doesNotContain("https:");
    }

    private static BurnRecorder recorder(final String daemon) {
        final BurnRecorder recorder =
                new BurnRecorder(
                        new DaemonId(daemon),
                        URI.create("http://127.0.0.1:7001"),
                        NOW.minus(Duration.ofMinutes(30)));
        recorder.setObjectives(List.of(COURT));
        return recorder;
    }

    private static RequestSample sample(
            final Outcome outcome, final long firstTokenMillis, final Instant at) {
        return new RequestSample(
                CLINIC,
                outcome,
                Optional.of(Duration.ofMillis(firstTokenMillis)),
                Optional.of(Duration.ofMillis(40)),
                10,
                2,
                at);
    }

    private static FleetReport merge(final DaemonReport... reports) {
        final FleetReportMerger merge = new FleetReportMerger();
        List.of(reports).forEach(merge::add);
        merge.addMissingDaemon("d3: timed out");
        merge.setPricePerHour(OptionalDouble.of(12));
        return merge.report();
    }
}
