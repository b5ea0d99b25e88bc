package org.whinhead.report;

import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.stream.Stream;

/** Formats a report as tables for a terminal. */
public final class TextReport {

    private static final String NUMBER_COLUMNS = "%-14s  %8s %8s %8s %9s  %s";
    private static final String BURN_RATE_FORMAT = "%.2f";
    private static final String NO_REQUESTS = "-";

    private TextReport() {}

    /**
     * Formats the report.
     *
     * @param report the report
     * @return the text
     */
    public static String write(final FleetReport report) {
        final StringBuilder out = new StringBuilder();
        out.append("Service-level burn at ")
                .append(report.asOf())
                .append(" (1.00 = allowance)\n\n");
        appendBurnTable(report, out);
        out.append('\n');
        appendTiers(report, out);
        appendTokens(report, out);
        appendCost(report, out);
        out.append("collected from: ").append(String.join(", ", report.collected())).append('\n');
        report.missing().forEach(text -> out.append("NOT collected: ").append(text).append('\n'));
        report.notes().forEach(text -> out.append("note: ").append(text).append('\n'));
        return out.toString();
    }

    /** Appends the burn rate table, with columns as wide as the longest customer and tier names. */
    private static void appendBurnTable(final FleetReport report, final StringBuilder out) {
        final int customers =
                columnWidth(report, "customer", line -> line.key().customer().value());
        final int tiers = columnWidth(report, "tier", line -> line.key().tier());
        final String layout = "%-" + customers + "s  %-" + tiers + "s  " + NUMBER_COLUMNS;
        final Object[] headers = {
            "customer",
            "tier",
            "promise",
            Window.SHORT.title(),
            Window.MIDDLE.title(),
            Window.LONG.title(),
            "requests",
            "alert"
        };
        appendRow(out, layout, headers);
        for (final FleetReport.Line line : report.lines()) {
            for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
                appendRow(out, layout, rowCells(line, level));
            }
        }
    }

    private static int columnWidth(
            final FleetReport report,
            final String header,
            final Function<FleetReport.Line, String> name) {
        return Stream.concat(Stream.of(header), report.lines().stream().map(name))
                .mapToInt(String::length)
                .max()
                .orElse(0);
    }

    private static void appendRow(
            final StringBuilder out, final String layout, final Object... cells) {
        out.append(String.format(Locale.ROOT, layout, cells).stripTrailing()).append('\n');
    }

    private static Object[] rowCells(
            final FleetReport.Line line, final ServiceLevelIndicator level) {
        return new Object[] {
            line.key().customer(),
            line.key().tier(),
            level.title(),
            formatBurnRate(line, level, Window.SHORT),
            formatBurnRate(line, level, Window.MIDDLE),
            formatBurnRate(line, level, Window.LONG),
            level.totalEvents(line.counts(Window.LONG)),
            Alert.of(line, level).title()
        };
    }

    private static String formatBurnRate(
            final FleetReport.Line line, final ServiceLevelIndicator level, final Window window) {
        if (level.totalEvents(line.counts(window)) == 0) {
            return NO_REQUESTS;
        }
        return String.format(Locale.ROOT, BURN_RATE_FORMAT, line.burnRate(level, window));
    }

    private static void appendTiers(final FleetReport report, final StringBuilder out) {
        for (final String tier : report.tiers()) {
            final Counts sum = report.total(tier, Window.MIDDLE);
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-6s tier %s: completed %d, generated %d tokens, recomputed %d%n",
                            Window.MIDDLE.title(),
                            tier,
                            sum.good(),
                            sum.generatedTokens(),
                            sum.recomputedTokens()));
        }
    }

    private static void appendTokens(final FleetReport report, final StringBuilder out) {
        for (final Window window : Window.values()) {
            final Counts sum = report.total(window);
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-6s generated %d tokens, recomputed %d (%.2f%%)%n",
                            window.title(),
                            sum.generatedTokens(),
                            sum.recomputedTokens(),
                            sum.recomputedPercent()));
        }
    }

    private static void appendCost(final FleetReport report, final StringBuilder out) {
        final OptionalDouble price = report.costPerThousandCompleted(Window.MIDDLE);
        if (price.isPresent()) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "cost of 1,000 completed requests over %s: %.4f%n",
                            Window.MIDDLE.title(),
                            price.getAsDouble()));
        } else {
            out.append("cost: not known\n");
        }
    }
}
