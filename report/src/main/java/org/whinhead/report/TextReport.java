package org.whinhead.report;

import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.stream.Stream;

/** Writes a report as tables for a terminal. */
public final class TextReport {

    private static final String NUMBERS = "%-14s  %8s %8s %8s %9s  %s";
    private static final String BURN = "%.2f";
    private static final String NOTHING_COUNTED = "-";

    private TextReport() {}

    /**
     * Writes the report.
     *
     * @param report the report
     * @return the text
     */
    public static String write(final FleetReport report) {
        final StringBuilder out = new StringBuilder();
        out.append("Service-level burn at ")
                .append(report.asOf())
                .append(" (1.00 = allowance)\n\n");
        burnTable(report, out);
        out.append('\n');
        tiers(report, out);
        tokens(report, out);
        price(report, out);
        out.append("collected from: ").append(String.join(", ", report.collected())).append('\n');
        report.missing().forEach(text -> out.append("NOT collected: ").append(text).append('\n'));
        report.notes().forEach(text -> out.append("note: ").append(text).append('\n'));
        return out.toString();
    }

    /** Lays the table out by its longest names, which operators choose. */
    private static void burnTable(final FleetReport report, final StringBuilder out) {
        final int customers = width(report, "customer", line -> line.key().customer().value());
        final int tiers = width(report, "tier", line -> line.key().tier());
        final String layout = "%-" + customers + "s  %-" + tiers + "s  " + NUMBERS;
        final Object[] heads = {
            "customer",
            "tier",
            "promise",
            Window.SHORT.title(),
            Window.MIDDLE.title(),
            Window.LONG.title(),
            "requests",
            "alert"
        };
        addRow(out, layout, heads);
        for (final FleetReport.Line line : report.lines()) {
            for (final ServiceLevel level : ServiceLevel.values()) {
                addRow(out, layout, cells(line, level));
            }
        }
    }

    private static int width(
            final FleetReport report,
            final String head,
            final Function<FleetReport.Line, String> name) {
        return Stream.concat(Stream.of(head), report.lines().stream().map(name))
                .mapToInt(String::length)
                .max()
                .orElse(0);
    }

    private static void addRow(
            final StringBuilder out, final String layout, final Object... cells) {
        out.append(String.format(Locale.ROOT, layout, cells).stripTrailing()).append('\n');
    }

    private static Object[] cells(final FleetReport.Line line, final ServiceLevel level) {
        return new Object[] {
            line.key().customer(),
            line.key().tier(),
            level.title(),
            burn(line, level, Window.SHORT),
            burn(line, level, Window.MIDDLE),
            burn(line, level, Window.LONG),
            level.total(line.counts(Window.LONG)),
            Alert.of(line, level).title()
        };
    }

    private static String burn(
            final FleetReport.Line line, final ServiceLevel level, final Window window) {
        if (level.total(line.counts(window)) == 0) {
            return NOTHING_COUNTED;
        }
        return String.format(Locale.ROOT, BURN, line.burn(level, window));
    }

    private static void tiers(final FleetReport report, final StringBuilder out) {
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

    private static void tokens(final FleetReport report, final StringBuilder out) {
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

    private static void price(final FleetReport report, final StringBuilder out) {
        final OptionalDouble price = report.pricePerThousand(Window.MIDDLE);
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
