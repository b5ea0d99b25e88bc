package org.whinhead.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/** Formats a report as one JSON object for scripts. */
public final class JsonReport {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonReport() {}

    /**
     * Formats the report.
     *
     * @param report the report
     * @return the indented JSON text
     */
    public static String write(final FleetReport report) {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("asOf", report.asOf().toString());
        final ArrayNode lines = root.putArray("lines");
        report.lines().forEach(line -> lines.add(writeLine(line)));
        final ObjectNode tokens = root.putObject("tokens");
        for (final Window window : Window.values()) {
            final Counts sum = report.total(window);
            final ObjectNode node = tokens.putObject(fieldName(window));
            node.put("completed", sum.good());
            node.put("generated", sum.generatedTokens());
            node.put("recomputed", sum.recomputedTokens());
        }
        final ObjectNode tiers = root.putObject("tiers");
        for (final String tier : report.tiers()) {
            final Counts sum = report.total(tier, Window.MIDDLE);
            final ObjectNode node = tiers.putObject(tier);
            node.put("completed", sum.good());
            node.put("generated", sum.generatedTokens());
            node.put("recomputed", sum.recomputedTokens());
        }
        report.costPerThousandCompleted(Window.MIDDLE)
                .ifPresent(price -> root.put("costPerThousandCompleted", price));
        root.put("complete", report.isComplete());
        report.collected().forEach(root.putArray("collected")::add);
        report.missing().forEach(root.putArray("missing")::add);
        report.notes().forEach(root.putArray("notes")::add);
        return root.toPrettyString();
    }

    private static ObjectNode writeLine(final FleetReport.Line line) {
        final ObjectNode node = MAPPER.createObjectNode();
        node.put("customer", line.key().customer().value());
        node.put("tier", line.key().tier());
        for (final Window window : Window.values()) {
            final Counts counts = line.counts(window);
            final ObjectNode sums = node.putObject(fieldName(window));
            sums.put("requests", counts.counted());
            sums.put("good", counts.good());
            sums.put("notRun", counts.notRun());
            sums.put("mayHaveRun", counts.mayHaveRun());
            final ObjectNode burn = sums.putObject("burn");
            for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
                burn.put(fieldName(level), line.burnRate(level, window));
            }
        }
        final ObjectNode alerts = node.putObject("alerts");
        for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
            alerts.put(fieldName(level), fieldName(Alert.of(line, level)));
        }
        return node;
    }

    private static String fieldName(final Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
