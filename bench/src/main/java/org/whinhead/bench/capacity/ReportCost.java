package org.whinhead.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.whinhead.report.Counts;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.FleetMerge;
import org.whinhead.report.FleetReport;
import org.whinhead.report.Minute;
import org.whinhead.report.Objective;
import org.whinhead.report.Outcome;
import org.whinhead.report.RequestSample;
import org.whinhead.report.SeriesKey;

/** Counting ended requests, and the report that a daemon gives when it is asked. */
public final class ReportCost extends RoleCost {

    private static final int[] SERIES = {25, 100, 250, 500};
    private static final int[] DAEMONS = {1, 4, 16};
    private static final URI OPERATORS = URI.create("http://127.0.0.1:8081");
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
    void measure(final Meter meter, final long seed, final Sheet out) {
        final Series record = new Series("request counted", "customers", "ns a request");
        final Series made = new Series("report made", "customers", "ns a report");
        final Series memory = new Series("recorder after a whole window", "customers", "bytes");
        final Series bytes = new Series("report as arrays of JSON", "customers", "bytes");
        for (final int size : SERIES) {
            final BurnRecorder recorder = full(size);
            record.add(size, meter.nanos(() -> count(recorder, size, end())));
            made.add(size, meter.nanos(() -> recorder.report(end()).series().isEmpty() ? 0 : 1));
            bytes.add(size, Spread.exact(json(recorder.report(end())).length));
            memory.add(size, meter.retained(() -> full(size)));
        }
        out.add(record, made, memory, bytes);
        final Series merged = new Series("reports of 100 customers merged", "daemons", "ns");
        final DaemonReport one = full(100).report(end());
        for (final int size : DAEMONS) {
            final List<DaemonReport> reports = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                reports.add(copyOf(one, i));
            }
            merged.add(size, meter.nanos(() -> merge(reports)));
        }
        out.add(merged);
    }

    /** The same counts under another daemon's name, since one daemon's counts are added once. */
    private static DaemonReport copyOf(final DaemonReport report, final int number) {
        return new DaemonReport(
                new DaemonId("entry-" + number),
                report.address(),
                report.since(),
                report.asOf(),
                report.objectives(),
                report.series(),
                report.leftOut());
    }

    private static Instant end() {
        return Fixtures.START.plus(Duration.ofMinutes(BurnRecorder.MINUTES - 1));
    }

    /** A recorder whose customers each had a request in every minute that it keeps. */
    private static BurnRecorder full(final int customers) {
        final BurnRecorder recorder =
                new BurnRecorder(new DaemonId("entry-17"), OPERATORS, Fixtures.START);
        recorder.objectives(List.of(OBJECTIVE));
        for (int minute = 0; minute < BurnRecorder.MINUTES; minute++) {
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
        final FleetMerge merge = new FleetMerge();
        reports.forEach(merge::add);
        final FleetReport report = merge.report();
        return report.lines().isEmpty() ? 0 : 1;
    }

    /** The smallest plain form: a series is its key and one array of numbers for each minute. */
    private static byte[] json(final DaemonReport report) {
        final ObjectNode root = new ObjectMapper().createObjectNode();
        final ArrayNode all = root.put("daemon", report.daemon().value()).putArray("series");
        for (final DaemonReport.Series series : report.series()) {
            final ObjectNode node = all.addObject();
            node.put("customer", series.key().customer().value()).put("tier", series.key().tier());
            final ArrayNode minutes = node.putArray("minutes");
            series.minutes().forEach(minute -> add(minutes.addArray(), minute));
        }
        try {
            return new ObjectMapper().writeValueAsString(root).getBytes(StandardCharsets.UTF_8);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("plain numbers", e);
        }
    }

    private static void add(final ArrayNode array, final Minute minute) {
        final Counts counts = minute.counts();
        array.add(minute.number());
        array.add(counts.counted())
                .add(counts.good())
                .add(counts.notRun())
                .add(counts.mayHaveRun());
        array.add(counts.firstTokens()).add(counts.firstTokensInTime());
        array.add(counts.streams()).add(counts.streamsInTime());
        array.add(counts.generatedTokens()).add(counts.recomputedTokens());
    }
}
