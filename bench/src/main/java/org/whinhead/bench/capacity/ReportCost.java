package org.whinhead.bench.capacity;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.report.BurnRecorder;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.DaemonReportJson;
import org.whinhead.report.FleetReportMerger;
import org.whinhead.report.Objective;
import org.whinhead.report.Outcome;
import org.whinhead.report.RequestSample;
import org.whinhead.report.SeriesKey;

/** Measures the counting of ended requests, and the making and merging of daemon reports. */
public final class ReportCost extends RoleCost {

    private static final int[] CUSTOMER_COUNTS = {25, 100, 250, 500};
    private static final int[] DAEMON_COUNTS = {1, 4, 16};
    private static final int MERGED_CUSTOMERS = 100;
    private static final URI ADDRESS = URI.create("http://10.0.0.17:8080");
    private static final Objective OBJECTIVE =
            new Objective("clerk", 0.999, 0.95, Duration.ofMillis(1400), Duration.ofMillis(72));

    @Override
    public String name() {
        return "capacity-report";
    }

    @Override
    public String description() {
        return "CPU, bytes and memory of service-level counts";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series record = new Series("request counted", "customers", "ns a request");
        final Series made = new Series("report made", "customers", "ns a report");
        final Series memory = new Series("recorder after a whole window", "customers", "bytes");
        final Series bytes = new Series("report as JSON", "customers", "bytes");
        for (final int size : CUSTOMER_COUNTS) {
            final BurnRecorder recorder = fullRecorder(size, "entry-17");
            record.add(size, meter.measureCpuNanos(() -> count(recorder, size, end())));
            made.add(
                    size,
                    meter.measureCpuNanos(() -> recorder.report(end()).series().isEmpty() ? 0 : 1));
            bytes.add(size, Spread.exact(json(recorder.report(end())).length));
            memory.add(size, meter.measureRetainedBytes(() -> fullRecorder(size, "entry-17")));
        }
        out.print(record, made, memory, bytes);
        final Series merged = new Series("reports of 100 customers merged", "daemons", "ns");
        for (final int size : DAEMON_COUNTS) {
            final List<DaemonReport> reports = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                reports.add(fullRecorder(MERGED_CUSTOMERS, "entry-" + i).report(end()));
            }
            merged.add(size, meter.measureCpuNanos(() -> merge(reports)));
        }
        out.print(merged);
    }

    private static Instant end() {
        return Fixtures.START.plus(Duration.ofMinutes(BurnRecorder.MAX_MINUTES_PER_SERIES - 1));
    }

    /** Returns a recorder with one request per customer in every minute of its window. */
    private static BurnRecorder fullRecorder(final int customers, final String daemon) {
        final BurnRecorder recorder =
                new BurnRecorder(new DaemonId(daemon), ADDRESS, Fixtures.START);
        recorder.setObjectives(List.of(OBJECTIVE));
        for (int minute = 0; minute < BurnRecorder.MAX_MINUTES_PER_SERIES; minute++) {
            count(recorder, customers, Fixtures.START.plus(Duration.ofMinutes(minute)));
        }
        return recorder;
    }

    private static long count(final BurnRecorder recorder, final int customers, final Instant at) {
        for (int i = 0; i < customers; i++) {
            recorder.record(
                    new RequestSample(
                            new SeriesKey(new CustomerId("customer-" + i), OBJECTIVE.tier()),
                            Outcome.COMPLETED,
                            Optional.of(Duration.ofMillis(700)),
                            Optional.of(Duration.ofMillis(40)),
                            265,
                            0,
                            at));
        }
        return customers;
    }

    private static long merge(final List<DaemonReport> reports) {
        final FleetReportMerger merge = new FleetReportMerger();
        reports.forEach(merge::add);
        return merge.report().lines().isEmpty() ? 0 : 1;
    }

    private static byte[] json(final DaemonReport report) {
        return DaemonReportJson.write(report).toString().getBytes(StandardCharsets.UTF_8);
    }
}
