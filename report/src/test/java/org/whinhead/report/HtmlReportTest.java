package org.whinhead.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;

/** Writes a sample page of a deployment into {@code target} for inspection. */
class HtmlReportTest {

    private static final Instant NOW = Instant.parse("2026-12-02T16:30:20Z");
    private static final Path PAGE = Path.of("target/sample-report.html");
    private static final List<String> CUSTOMERS =
            List.of(
                    "legal-aid-clinics",
                    "cooperatives",
                    "bailiff-gasabo",
                    "bailiff-kicukiro",
                    "bailiff-nyarugenge",
                    "outlet-managers-and-area-auditors-of-upperhill",
                    "outlet-managers-and-area-auditors-of-westlands",
                    "invoice-desk",
                    "audit <night>");
    private static final List<Objective> TIERS =
            List.of(objective("urgent", 0.999, 400), objective("batch", 0.99, 5000));

    /**
     * Guards against a page without alerts after a failure domain was reclaimed: after hours of
     * good service, the last minutes have refusals, recomputed prompts and slow first tokens.
     */
    @Test
    void pageAfterReclaimShowsAlerts() throws Exception {
        final FleetReportMerger merge = new FleetReportMerger();
        merge.setPricePerHour(OptionalDouble.of(14.2));
        for (int daemon = 1; daemon <= 8; daemon++) {
            merge.add(DaemonReportJson.read(DaemonReportJson.write(reportOf(daemon))));
        }
        merge.addMissingDaemon("http://10.20.1.19:7002: no answer within PT10S");

        final String page = HtmlReport.write(merge.report());

        Files.writeString(PAGE, page);
        assertThat(page)
                .contains("<span class=\"fire\">PAGE</span> bailiff-gasabo, urgent: availability")
                .contains("daemon-4 counts only since 2026-12-02T15:00:00Z")
                .contains("The 8 lines with the highest burn, of 9");
    }

    private static DaemonReport reportOf(final int daemon) {
        final Random random = new Random(daemon);
        final Instant since = NOW.minus(Duration.ofHours(12));
        final BurnRecorder recorder =
                new BurnRecorder(
                        new DaemonId("daemon-" + daemon),
                        URI.create("http://10.20.1." + daemon + ":7001"),
                        daemon == 4 ? Instant.parse("2026-12-02T15:00:00Z") : since);
        recorder.setObjectives(TIERS);
        for (int minute = 359; minute >= 0; minute--) {
            final Instant at = NOW.minus(Duration.ofMinutes(minute));
            for (int index = 0; index < CUSTOMERS.size(); index++) {
                final int requests = random.nextInt(index < 2 ? 12 : 4);
                for (int request = 0; request < requests; request++) {
                    recorder.record(sample(random, index, minute, at));
                }
            }
        }
        return recorder.report(NOW);
    }

    private static RequestSample sample(
            final Random random, final int customer, final int minute, final Instant at) {
        final boolean isReclaim = minute <= 12;
        final boolean isRefused = random.nextInt(1000) < (isReclaim && customer < 5 ? 120 : 1);
        final boolean isUrgent = customer < 5;
        final long firstToken = (long) (180 + 90 * random.nextGaussian() + (isReclaim ? 160 : 0));
        final int tokens = 40 + random.nextInt(300);
        return new RequestSample(
                new SeriesKey(
                        new CustomerId(CUSTOMERS.get(customer)),
                        TIERS.get(isUrgent ? 0 : 1).tier()),
                isRefused ? Outcome.REFUSED_NOT_RUN : Outcome.COMPLETED,
                isRefused
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(Math.max(20, firstToken))),
                isRefused
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(22 + random.nextInt(12))),
                isRefused ? 0 : tokens,
                isReclaim && random.nextInt(4) == 0 ? 200 : 0,
                at);
    }

    private static Objective objective(
            final String tier, final double availability, final long firstTokenMillis) {
        return new Objective(
                tier,
                availability,
                0.95,
                Duration.ofMillis(firstTokenMillis),
                Duration.ofMillis(40));
    }
}
