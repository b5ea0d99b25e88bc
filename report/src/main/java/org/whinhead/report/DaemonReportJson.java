package org.whinhead.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;

/**
 * Converts a daemon's report to and from JSON. Each minute is an array of numbers in the order of
 * {@code columns}, which keeps a report of many minutes small.
 */
public final class DaemonReportJson {

    private static final List<String> COLUMNS =
            List.of(
                    "minute",
                    "counted",
                    "good",
                    "notRun",
                    "mayHaveRun",
                    "firstTokens",
                    "firstTokensInTime",
                    "streams",
                    "streamsInTime",
                    "generatedTokens",
                    "recomputedTokens");

    private DaemonReportJson() {}

    /**
     * Converts a report to JSON.
     *
     * @param report the report
     * @return the JSON object
     */
    public static ObjectNode write(final DaemonReport report) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("daemon", report.daemon().value());
        root.put("address", report.address().toString());
        root.put("since", report.since().toString());
        root.put("asOf", report.asOf().toString());
        root.put("leftOut", report.leftOut());
        final ArrayNode objectives = root.putArray("objectives");
        report.objectives().forEach(objective -> objectives.add(writeObjective(objective)));
        COLUMNS.forEach(root.putArray("columns")::add);
        final ArrayNode series = root.putArray("series");
        for (final DaemonReport.Series one : report.series()) {
            final ObjectNode node = series.addObject();
            node.put("customer", one.key().customer().value());
            node.put("tier", one.key().tier());
            final ArrayNode minutes = node.putArray("minutes");
            one.minutes().forEach(minute -> writeMinute(minutes.addArray(), minute));
        }
        return root;
    }

    /**
     * Converts JSON to a report.
     *
     * @param root the JSON object
     * @return the report
     * @throws ReportFormatException if the object is not a report of this form
     */
    public static DaemonReport read(final JsonNode root) throws ReportFormatException {
        try {
            checkColumns(root.path("columns"));
            return new DaemonReport(
                    new DaemonId(root.path("daemon").asText()),
                    URI.create(root.path("address").asText()),
                    Instant.parse(root.path("since").asText()),
                    Instant.parse(root.path("asOf").asText()),
                    readObjectives(root.path("objectives")),
                    readSeries(root.path("series")),
                    root.path("leftOut").asLong());
        } catch (DateTimeParseException | IllegalArgumentException e) {
            throw new ReportFormatException("not a burn report: " + e.getMessage(), e);
        }
    }

    private static ObjectNode writeObjective(final Objective objective) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("tier", objective.tier())
                .put("availability", objective.availability())
                .put("latencyShare", objective.latencyShare())
                .put("firstTokenMillis", objective.firstTokenTarget().toMillis())
                .put("betweenTokensMillis", objective.betweenTokensTarget().toMillis());
    }

    private static void writeMinute(final ArrayNode row, final MinuteCounts minute) {
        final Counts counts = minute.counts();
        row.add(minute.epochMinute())
                .add(counts.counted())
                .add(counts.good())
                .add(counts.notRun())
                .add(counts.mayHaveRun())
                .add(counts.firstTokens())
                .add(counts.firstTokensInTime())
                .add(counts.streams())
                .add(counts.streamsInTime())
                .add(counts.generatedTokens())
                .add(counts.recomputedTokens());
    }

    private static void checkColumns(final JsonNode columns) {
        final List<String> names = new ArrayList<>();
        columns.forEach(column -> names.add(column.asText()));
        if (!names.equals(COLUMNS)) {
            throw new IllegalArgumentException("columns " + names);
        }
    }

    private static List<Objective> readObjectives(final JsonNode list) {
        final List<Objective> objectives = new ArrayList<>();
        for (final JsonNode node : list) {
            objectives.add(
                    new Objective(
                            node.path("tier").asText(),
                            node.path("availability").asDouble(),
                            node.path("latencyShare").asDouble(),
                            Duration.ofMillis(node.path("firstTokenMillis").asLong()),
                            Duration.ofMillis(node.path("betweenTokensMillis").asLong())));
        }
        return objectives;
    }

    private static List<DaemonReport.Series> readSeries(final JsonNode list) {
        final List<DaemonReport.Series> series = new ArrayList<>();
        for (final JsonNode node : list) {
            final CustomerId customer = new CustomerId(node.path("customer").asText());
            final SeriesKey key = new SeriesKey(customer, node.path("tier").asText());
            final List<MinuteCounts> minutes = new ArrayList<>();
            node.path("minutes").forEach(row -> minutes.add(readMinute(row)));
            series.add(new DaemonReport.Series(key, minutes));
        }
        return series;
    }

    private static MinuteCounts readMinute(final JsonNode row) {
        if (row.size() != COLUMNS.size()) {
            throw new IllegalArgumentException("minute row has " + row.size() + " numbers");
        }
        int column = 0;
        final long epochMinute = row.get(column++).asLong();
        return new MinuteCounts(
                epochMinute,
                new Counts(
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column++).asLong(),
                        row.get(column).asLong()));
    }
}
