package org.whinhead.report;

import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** Formats a report as one self-contained HTML page. */
public final class HtmlReport {

    private static final double FULL_ALLOWANCE_BURN_RATE = 1;
    private static final int MAX_ITEMS_OF_OPEN_LIST = 5;
    private static final String COUNT_HEADERS =
            "<th class=\"n\">Completed requests</th><th class=\"n\">Generated tokens</th>"
                    + "<th class=\"n\">Recomputed</th><th class=\"n\">Recomputed share</th>";
    private static final String STYLE =
            """
            body{font:14px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:66rem;
            padding:0 1rem;color:#1b1f24}
            table{border-collapse:collapse;width:100%}
            td,th{padding:.3rem .6rem;border-bottom:1px solid #d8dee4;text-align:left;
            vertical-align:top;overflow-wrap:anywhere}
            td.n,th.n{text-align:right;font-variant-numeric:tabular-nums;white-space:nowrap}
            tr.first td{border-top:2px solid #afb8c1}
            .warm{background:#fff8c5}.hot{background:#ffd8b5}
            .fire{background:#ffb3ad;font-weight:600}
            .none{color:#6e7781}.gap{color:#9a3412}
            img{max-width:100%;height:auto}
            .legend span{display:inline-block;margin-right:1.2rem}
            .legend i{display:inline-block;width:1rem;height:.35rem;margin-right:.4rem;
            vertical-align:middle}
            """;

    private HtmlReport() {}

    /**
     * Formats the report.
     *
     * @param report the report
     * @return the HTML text
     * @throws IOException if a plot cannot be drawn
     */
    public static String write(final FleetReport report) throws IOException {
        final StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>whinhead: service-level burn</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>Service-level burn</h1><p>")
                .append(report.asOf())
                .append(". A burn of 1.00 uses up exactly the allowance for misses.</p>");
        appendSources(report, page);
        appendAlerts(report, page);
        if (report.lines().isEmpty()) {
            page.append("<p>No request ended in the last ")
                    .append(Window.LONG.title())
                    .append(".</p>");
        } else {
            appendBurnTable(report, page);
            appendPlots(report, page);
        }
        appendTokenTables(report, page);
        return page.append("</body></html>\n").toString();
    }

    private static void appendSources(final FleetReport report, final StringBuilder page) {
        page.append("<p>Collected from ").append(report.collected().size()).append(" daemons.</p>");
        appendCollapsibleList(page, "Not collected", report.missing());
        appendCollapsibleList(page, "Notes", report.notes());
    }

    /** Collapses long lists, so that the notes of a newly started fleet do not hide the tables. */
    private static void appendCollapsibleList(
            final StringBuilder page, final String title, final List<String> texts) {
        if (texts.isEmpty()) {
            return;
        }
        page.append("<details class=\"gap\"")
                .append(texts.size() <= MAX_ITEMS_OF_OPEN_LIST ? " open" : "")
                .append("><summary>")
                .append(title)
                .append(": ")
                .append(texts.size())
                .append("</summary><ul>");
        texts.forEach(text -> page.append("<li>").append(escapeHtml(text)).append("</li>"));
        page.append("</ul></details>");
    }

    private static void appendAlerts(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Alerts</h2>");
        final StringBuilder items = new StringBuilder();
        for (final Alert alert : List.of(Alert.PAGE, Alert.TICKET)) {
            for (final FleetReport.Line line : report.lines()) {
                for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
                    if (Alert.of(line, level) == alert) {
                        appendAlert(items, alert, line, level);
                    }
                }
            }
        }
        page.append(items.length() == 0 ? "<p>None.</p>" : "<ul>" + items + "</ul>");
    }

    private static void appendAlert(
            final StringBuilder items,
            final Alert alert,
            final FleetReport.Line line,
            final ServiceLevelIndicator level) {
        items.append("<li><span class=\"")
                .append(cssClassOf(alert.burnRateThreshold()))
                .append("\">")
                .append(alert.title())
                .append("</span> ")
                .append(escapeHtml(line.key().customer().value()))
                .append(", ")
                .append(escapeHtml(line.key().tier()))
                .append(": ")
                .append(level.title())
                .append(
                        String.format(
                                Locale.ROOT,
                                ", burn %.1f over %s",
                                line.burnRate(level, Window.MIDDLE),
                                Window.MIDDLE.title()))
                .append("</li>");
    }

    private static void appendBurnTable(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Burn</h2><table><tr><th>Customer</th><th>Tier</th><th>Promise</th>");
        for (final Window window : Window.values()) {
            page.append("<th class=\"n\">").append(window.title()).append("</th>");
        }
        page.append("<th class=\"n\">Counted in ").append(Window.LONG.title()).append("</th></tr>");
        report.lines().forEach(line -> appendBurnRows(line, page));
        page.append("</table>");
    }

    private static void appendBurnRows(final FleetReport.Line line, final StringBuilder page) {
        boolean first = true;
        for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
            page.append(first ? "<tr class=\"first\"><td>" : "<tr><td>")
                    .append(first ? escapeHtml(line.key().customer().value()) : "")
                    .append("</td><td>")
                    .append(first ? escapeHtml(line.key().tier()) : "")
                    .append("</td><td>")
                    .append(level.title())
                    .append("</td>");
            for (final Window window : Window.values()) {
                appendBurnCell(line, level, window, page);
            }
            page.append("<td class=\"n\">")
                    .append(
                            String.format(
                                    Locale.ROOT,
                                    "%,d",
                                    level.totalEvents(line.counts(Window.LONG))))
                    .append("</td></tr>");
            first = false;
        }
    }

    private static void appendBurnCell(
            final FleetReport.Line line,
            final ServiceLevelIndicator level,
            final Window window,
            final StringBuilder page) {
        if (level.totalEvents(line.counts(window)) == 0) {
            page.append("<td class=\"n none\">–</td>");
            return;
        }
        final double burn = line.burnRate(level, window);
        page.append("<td class=\"n ")
                .append(cssClassOf(burn))
                .append("\">")
                .append(String.format(Locale.ROOT, "%.2f", burn))
                .append("</td>");
    }

    private static String cssClassOf(final double burn) {
        if (burn >= Alert.PAGE.burnRateThreshold()) {
            return "fire";
        }
        if (burn >= Alert.TICKET.burnRateThreshold()) {
            return "hot";
        }
        return burn > FULL_ALLOWANCE_BURN_RATE ? "warm" : "";
    }

    private static void appendPlots(final FleetReport report, final StringBuilder page)
            throws IOException {
        final BurnPlot plot = new BurnPlot(report);
        page.append("<h2>History over ").append(Window.LONG.title()).append(" (UTC)</h2>");
        appendLegend(report, plot, page);
        for (final ServiceLevelIndicator level : ServiceLevelIndicator.values()) {
            final String title = "Burn: " + level.title();
            if (plot.hasMisses(level)) {
                appendImage(page, title, plot.drawBurnRate(level));
            } else {
                page.append("<h3>").append(title).append("</h3><p>No misses.</p>");
            }
        }
        appendImage(page, "Tokens per minute", plot.drawTokens());
        page.append("<p class=\"legend\">");
        appendLegendEntry(page, BurnPlot.cssColor(0), "generated");
        appendLegendEntry(page, BurnPlot.cssColor(1), "recomputed");
        page.append("</p>");
    }

    private static void appendLegend(
            final FleetReport report, final BurnPlot plot, final StringBuilder page) {
        page.append("<p class=\"legend\">");
        for (int index = 0; index < plot.plottedLines().size(); index++) {
            final SeriesKey key = plot.plottedLines().get(index).key();
            appendLegendEntry(page, BurnPlot.cssColor(index), key.customer() + ", " + key.tier());
        }
        appendLegendEntry(page, "#808080", "allowance");
        page.append("</p>");
        if (plot.plottedLines().size() < report.lines().size()) {
            page.append("<p>The ")
                    .append(plot.plottedLines().size())
                    .append(" lines with the highest burn, of ")
                    .append(report.lines().size())
                    .append(".</p>");
        }
    }

    private static void appendLegendEntry(
            final StringBuilder page, final String color, final String name) {
        page.append("<span><i style=\"background:")
                .append(color)
                .append("\"></i>")
                .append(escapeHtml(name))
                .append("</span>");
    }

    private static void appendTokenTables(final FleetReport report, final StringBuilder page) {
        appendWindowTable(report, page);
        if (report.lines().isEmpty()) {
            return;
        }
        page.append("<h2>Tiers over ")
                .append(Window.MIDDLE.title())
                .append("</h2><table><tr><th>Tier</th>")
                .append(COUNT_HEADERS)
                .append("</tr>");
        for (final String tier : report.tiers()) {
            page.append("<tr><td>").append(escapeHtml(tier)).append("</td>");
            appendCountCells(report.total(tier, Window.MIDDLE), page);
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private static void appendWindowTable(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Tokens and cost</h2><table><tr><th>Window</th>")
                .append(COUNT_HEADERS)
                .append("<th class=\"n\">Cost of 1,000 completed</th></tr>");
        for (final Window window : Window.values()) {
            page.append("<tr><td>").append(window.title()).append("</td>");
            appendCountCells(report.total(window), page);
            page.append("<td class=\"n\">")
                    .append(
                            report.costPerThousandCompleted(window).stream()
                                    .mapToObj(value -> String.format(Locale.ROOT, "%.4f", value))
                                    .findFirst()
                                    .orElse("not known"))
                    .append("</td></tr>");
        }
        page.append("</table>");
    }

    private static void appendCountCells(final Counts sum, final StringBuilder page) {
        page.append(
                String.format(
                        Locale.ROOT,
                        "<td class=\"n\">%,d</td><td class=\"n\">%,d</td>"
                                + "<td class=\"n\">%,d</td><td class=\"n\">%.2f%%</td>",
                        sum.good(),
                        sum.generatedTokens(),
                        sum.recomputedTokens(),
                        sum.recomputedPercent()));
    }

    private static void appendImage(
            final StringBuilder page, final String title, final byte[] image) {
        page.append("<h3>")
                .append(title)
                .append("</h3><img alt=\"")
                .append(title)
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image))
                .append("\">");
    }

    private static String escapeHtml(final String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
