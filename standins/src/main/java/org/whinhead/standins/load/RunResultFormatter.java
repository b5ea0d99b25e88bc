package org.whinhead.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.whinhead.standins.load.result.LatencyDistribution;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/** Formats the result of a run as a text table or as JSON. */
final class RunResultFormatter {

    private static final double NANOS_PER_MILLI = 1_000_000.0;
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double P50_PERCENT = 50;
    private static final double P95_PERCENT = 95;
    private static final double P99_PERCENT = 99;

    private static final String NOT_MEASURED = "-";

    private final LoadResult mResult;
    private final boolean mPartial;

    /**
     * Creates a report of a complete run.
     *
     * @param result the result
     */
    RunResultFormatter(final LoadResult result) {
        this(result, false);
    }

    /**
     * Creates a report.
     *
     * @param result the result
     * @param partial whether requests are still in progress
     */
    RunResultFormatter(final LoadResult result, final boolean partial) {
        mResult = result;
        mPartial = partial;
    }

    /** Returns the report as a text table. */
    String table() {
        final List<String> lines = new ArrayList<>();
        lines.add(title());
        if (mPartial) {
            lines.add(LoadMessages.text("report.partial"));
        }
        lines.add("");
        lines.addAll(new TextTable(outcomeRows()).lines());
        lines.add("");
        lines.addAll(new TextTable(latencyRows()).lines());
        lines.add("");
        addCounts(lines, "report.completed-by-tier", mResult.completedByTier());
        addCounts(lines, "report.faults", mResult.faults());
        addCounts(lines, "report.error-codes", mResult.errorCodes());
        return String.join(System.lineSeparator(), lines);
    }

    /** Returns the report as a JSON object on one line. */
    String json() {
        final ObjectMapper mapper = new ObjectMapper();
        final ObjectNode root = mapper.createObjectNode();
        root.put("deployment", mResult.deployment());
        root.put("partial", mPartial);
        root.put("elapsedMillis", mResult.elapsed().toMillis());
        root.put("requests", mResult.requests().size());
        root.put("accepted", mResult.accepted());
        for (final RequestOutcome outcome : RequestOutcome.values()) {
            root.put(outcome.jsonName(), mResult.count(outcome));
        }
        root.put("resumes", mResult.resumes());
        root.put("tokens", mResult.tokens());
        root.put("promiseKept", mResult.isGuaranteeKept());
        root.set("completedByTier", mapper.valueToTree(mResult.completedByTier()));
        root.set("faults", mapper.valueToTree(mResult.faults()));
        root.set("errorCodes", mapper.valueToTree(mResult.errorCodes()));
        putDistribution(root.putObject("firstToken"), mResult.timeToFirstToken());
        putDistribution(root.putObject("betweenTokens"), mResult.timeBetweenTokens());
        final ObjectNode tiers = root.putObject("firstTokenByTier");
        timeToFirstTokenByTier()
                .forEach((tier, times) -> putDistribution(tiers.putObject(tier), times));
        final ObjectNode kinds = root.putObject("latencyByKind");
        latencyByKind().forEach((kind, latency) -> putDistribution(kinds.putObject(kind), latency));
        final ObjectNode keys = root.putObject("outcomeByIdempotencyKey");
        mResult.nonIdempotentResults().forEach(result -> putOutcome(keys, result));
        try {
            return mapper.writeValueAsString(root);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("report cannot be written as JSON", e);
        }
    }

    private static void putOutcome(final ObjectNode keys, final RequestResult result) {
        result.idempotencyKey().ifPresent(key -> keys.put(key, result.outcome().jsonName()));
    }

    private String title() {
        return LoadMessages.text(
                "report.title",
                mResult.deployment(),
                mResult.requests().size(),
                formatOneDecimal(mResult.elapsed().toMillis() / MILLIS_PER_SECOND),
                mResult.accepted(),
                mResult.resumes(),
                mResult.tokens());
    }

    private List<List<String>> outcomeRows() {
        final List<List<String>> rows = new ArrayList<>();
        final List<String> header = new ArrayList<>();
        header.add(LoadMessages.text("report.kind"));
        header.add(LoadMessages.text("report.requests"));
        for (final RequestOutcome outcome : RequestOutcome.values()) {
            header.add(outcome.jsonName());
        }
        rows.add(header);
        byKind().forEach((kind, results) -> rows.add(outcomeRow(kind, results)));
        return rows;
    }

    private Map<String, List<RequestResult>> byKind() {
        return mResult.requests().stream()
                .collect(
                        Collectors.groupingBy(
                                result -> result.request().kind().name(),
                                TreeMap::new,
                                Collectors.toList()));
    }

    private static List<String> outcomeRow(final String kind, final List<RequestResult> results) {
        final List<String> row = new ArrayList<>();
        row.add(kind);
        row.add(Integer.toString(results.size()));
        for (final RequestOutcome outcome : RequestOutcome.values()) {
            final long count = results.stream().filter(r -> r.outcome() == outcome).count();
            row.add(Long.toString(count));
        }
        return row;
    }

    private List<List<String>> latencyRows() {
        final List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "",
                        LoadMessages.text("report.p50"),
                        LoadMessages.text("report.p95"),
                        LoadMessages.text("report.p99"),
                        LoadMessages.text("report.max")));
        rows.add(latencyRow(LoadMessages.text("report.first-token"), mResult.timeToFirstToken()));
        timeToFirstTokenByTier()
                .forEach(
                        (tier, times) ->
                                rows.add(
                                        latencyRow(
                                                LoadMessages.text(
                                                        "report.first-token-of-tier", tier),
                                                times)));
        rows.add(
                latencyRow(
                        LoadMessages.text("report.between-tokens"), mResult.timeBetweenTokens()));
        latencyByKind()
                .forEach(
                        (kind, latency) ->
                                rows.add(
                                        latencyRow(
                                                LoadMessages.text("report.latency", kind),
                                                latency)));
        return rows;
    }

    private Map<String, LatencyDistribution> timeToFirstTokenByTier() {
        return new TreeMap<>(mResult.timeToFirstTokenByTier());
    }

    private Map<String, LatencyDistribution> latencyByKind() {
        return new TreeMap<>(mResult.latencyByKind());
    }

    private static List<String> latencyRow(final String name, final LatencyDistribution times) {
        return List.of(
                name,
                formatCell(times, times.percentile(P50_PERCENT)),
                formatCell(times, times.percentile(P95_PERCENT)),
                formatCell(times, times.percentile(P99_PERCENT)),
                formatCell(times, times.max()));
    }

    private static String formatCell(final LatencyDistribution times, final Duration time) {
        return times.count() == 0 ? NOT_MEASURED : formatOneDecimal(millis(time));
    }

    private static void addCounts(
            final List<String> lines, final String key, final Map<String, Long> counts) {
        if (!counts.isEmpty()) {
            lines.add(LoadMessages.text(key, counts.toString()));
        }
    }

    private static void putDistribution(final ObjectNode node, final LatencyDistribution times) {
        node.put("count", times.count());
        if (times.count() == 0) {
            return;
        }
        node.put("p50Millis", millis(times.percentile(P50_PERCENT)));
        node.put("p95Millis", millis(times.percentile(P95_PERCENT)));
        node.put("p99Millis", millis(times.percentile(P99_PERCENT)));
        node.put("maxMillis", millis(times.max()));
    }

    private static double millis(final Duration time) {
        return time.toNanos() / NANOS_PER_MILLI;
    }

    private static String formatOneDecimal(final double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
