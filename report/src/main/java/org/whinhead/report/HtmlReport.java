package org.whinhead.report;

import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** Writes a report as one HTML page that needs no other file. */
public final class HtmlReport {

    private static final double ALL_OF_IT = 1;
    private static final int MOST_OPEN = 5;
    private static final String COUNT_HEADS =
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
     * Writes the report.
     *
     * @param report the report
     * @return the page
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
        gaps(report, page);
        alerts(report, page);
        if (report.lines().isEmpty()) {
            page.append("<p>No request ended in the last ")
                    .append(Window.LONG.title())
                    .append(".</p>");
        } else {
            burnTable(report, page);
            plots(report, page);
        }
        tokenTables(report, page);
        return page.append("</body></html>\n").toString();
    }

    private static void gaps(final FleetReport report, final StringBuilder page) {
        page.append("<p>Collected from ").append(report.collected().size()).append(" daemons.</p>");
        gapList(page, "Not collected", report.missing());
        gapList(page, "Notes", report.notes());
    }

    /** Folds long lists away, so that a fleet that has just started does not hide the tables. */
    private static void gapList(
            final StringBuilder page, final String title, final List<String> texts) {
        if (texts.isEmpty()) {
            return;
        }
        page.append("<details class=\"gap\"")
                .append(texts.size() <= MOST_OPEN ? " open" : "")
                .append("><summary>")
                .append(title)
                .append(": ")
                .append(texts.size())
                .append("</summary><ul>");
        texts.forEach(text -> page.append("<li>").append(escape(text)).append("</li>"));
        page.append("</ul></details>");
    }

    private static void alerts(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Alerts</h2>");
        final StringBuilder items = new StringBuilder();
        for (final Alert alert : List.of(Alert.PAGE, Alert.TICKET)) {
            for (final FleetReport.Line line : report.lines()) {
                for (final ServiceLevel level : ServiceLevel.values()) {
                    if (Alert.of(line, level) == alert) {
                        alert(items, alert, line, level);
                    }
                }
            }
        }
        page.append(items.length() == 0 ? "<p>None.</p>" : "<ul>" + items + "</ul>");
    }

    private static void alert(
            final StringBuilder items,
            final Alert alert,
            final FleetReport.Line line,
            final ServiceLevel level) {
        items.append("<li><span class=\"")
                .append(styleOf(alert.burn()))
                .append("\">")
                .append(alert.title())
                .append("</span> ")
                .append(escape(line.key().customer().value()))
                .append(", ")
                .append(escape(line.key().tier()))
                .append(": ")
                .append(level.title())
                .append(
                        String.format(
                                Locale.ROOT,
                                ", burn %.1f over %s",
                                line.burn(level, Window.MIDDLE),
                                Window.MIDDLE.title()))
                .append("</li>");
    }

    private static void burnTable(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Burn</h2><table><tr><th>Customer</th><th>Tier</th><th>Promise</th>");
        for (final Window window : Window.values()) {
            page.append("<th class=\"n\">").append(window.title()).append("</th>");
        }
        page.append("<th class=\"n\">Counted in ").append(Window.LONG.title()).append("</th></tr>");
        report.lines().forEach(line -> burnRows(line, page));
        page.append("</table>");
    }

    private static void burnRows(final FleetReport.Line line, final StringBuilder page) {
        boolean first = true;
        for (final ServiceLevel level : ServiceLevel.values()) {
            page.append(first ? "<tr class=\"first\"><td>" : "<tr><td>")
                    .append(first ? escape(line.key().customer().value()) : "")
                    .append("</td><td>")
                    .append(first ? escape(line.key().tier()) : "")
                    .append("</td><td>")
                    .append(level.title())
                    .append("</td>");
            for (final Window window : Window.values()) {
                burnCell(line, level, window, page);
            }
            page.append("<td class=\"n\">")
                    .append(
                            String.format(
                                    Locale.ROOT, "%,d", level.total(line.counts(Window.LONG))))
                    .append("</td></tr>");
            first = false;
        }
    }

    private static void burnCell(
            final FleetReport.Line line,
            final ServiceLevel level,
            final Window window,
            final StringBuilder page) {
        if (level.total(line.counts(window)) == 0) {
            page.append("<td class=\"n none\">–</td>");
            return;
        }
        final double burn = line.burn(level, window);
        page.append("<td class=\"n ")
                .append(styleOf(burn))
                .append("\">")
                .append(String.format(Locale.ROOT, "%.2f", burn))
                .append("</td>");
    }

    private static String styleOf(final double burn) {
        if (burn >= Alert.PAGE.burn()) {
            return "fire";
        }
        if (burn >= Alert.TICKET.burn()) {
            return "hot";
        }
        return burn > ALL_OF_IT ? "warm" : "";
    }

    private static void plots(final FleetReport report, final StringBuilder page)
            throws IOException {
        final BurnPlot plot = new BurnPlot(report);
        page.append("<h2>Course over ").append(Window.LONG.title()).append(" (UTC)</h2>");
        legend(report, plot, page);
        for (final ServiceLevel level : ServiceLevel.values()) {
            final String title = "Burn: " + level.title();
            if (plot.hasBurn(level)) {
                picture(page, title, plot.burn(level));
            } else {
                page.append("<h3>").append(title).append("</h3><p>No miss.</p>");
            }
        }
        picture(page, "Tokens a minute", plot.tokens());
        page.append("<p class=\"legend\">");
        swatch(page, BurnPlot.colour(0), "generated");
        swatch(page, BurnPlot.colour(1), "recomputed");
        page.append("</p>");
    }

    private static void legend(
            final FleetReport report, final BurnPlot plot, final StringBuilder page) {
        page.append("<p class=\"legend\">");
        for (int index = 0; index < plot.shown().size(); index++) {
            final SeriesKey key = plot.shown().get(index).key();
            swatch(page, BurnPlot.colour(index), key.customer() + ", " + key.tier());
        }
        swatch(page, "#808080", "allowance");
        page.append("</p>");
        if (plot.shown().size() < report.lines().size()) {
            page.append("<p>The ")
                    .append(plot.shown().size())
                    .append(" lines with the highest burn, of ")
                    .append(report.lines().size())
                    .append(".</p>");
        }
    }

    private static void swatch(final StringBuilder page, final String colour, final String name) {
        page.append("<span><i style=\"background:")
                .append(colour)
                .append("\"></i>")
                .append(escape(name))
                .append("</span>");
    }

    private static void tokenTables(final FleetReport report, final StringBuilder page) {
        tokenTable(report, page);
        if (report.lines().isEmpty()) {
            return;
        }
        page.append("<h2>Tiers over ")
                .append(Window.MIDDLE.title())
                .append("</h2><table><tr><th>Tier</th>")
                .append(COUNT_HEADS)
                .append("</tr>");
        for (final String tier : report.tiers()) {
            page.append("<tr><td>").append(escape(tier)).append("</td>");
            countCells(report.total(tier, Window.MIDDLE), page);
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private static void tokenTable(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Tokens and cost</h2><table><tr><th>Window</th>")
                .append(COUNT_HEADS)
                .append("<th class=\"n\">Cost of 1,000 completed</th></tr>");
        for (final Window window : Window.values()) {
            page.append("<tr><td>").append(window.title()).append("</td>");
            countCells(report.total(window), page);
            page.append("<td class=\"n\">")
                    .append(
                            report.pricePerThousand(window).stream()
                                    .mapToObj(value -> String.format(Locale.ROOT, "%.4f", value))
                                    .findFirst()
                                    .orElse("not known"))
                    .append("</td></tr>");
        }
        page.append("</table>");
    }

    private static void countCells(final Counts sum, final StringBuilder page) {
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

    private static void picture(final StringBuilder page, final String title, final byte[] image) {
        page.append("<h3>")
                .append(title)
                .append("</h3><img alt=\"")
                .append(title)
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image))
                .append("\">");
    }

    private static String escape(final String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
