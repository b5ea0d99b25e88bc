package org.whinhead.report;

import java.util.Locale;
import java.util.OptionalDouble;

/** Writes a report as tables for a terminal. */
public final class TextReport {

    private static final String ROW = "%-16s %-12s %-15s %8s %8s %8s %10s  %s%n";
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
        out.append(
                String.format(
                        Locale.ROOT,
                        ROW,
                        "customer",
                        "tier",
                        "promise",
                        Window.SHORT.title(),
                        Window.MIDDLE.title(),
                        Window.LONG.title(),
                        "requests",
                        "alert"));
        for (final FleetReport.Line line : report.lines()) {
            for (final ServiceLevel level : ServiceLevel.values()) {
                out.append(row(line, level));
            }
        }
        out.append('\n');
        tiers(report, out);
        tokens(report, out);
        price(report, out);
        out.append("collected from: ").append(String.join(", ", report.collected())).append('\n');
        report.missing().forEach(text -> out.append("NOT collected: ").append(text).append('\n'));
        report.notes().forEach(text -> out.append("note: ").append(text).append('\n'));
        return out.toString();
    }

    private static String row(final FleetReport.Line line, final ServiceLevel level) {
        return String.format(
                Locale.ROOT,
                ROW,
                line.key().customer(),
                line.key().tier(),
                level.title(),
                burn(line, level, Window.SHORT),
                burn(line, level, Window.MIDDLE),
                burn(line, level, Window.LONG),
                level.total(line.counts(Window.LONG)),
                Alert.of(line, level).title());
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
