package org.whinhead.report;

import java.io.IOException;
import java.util.Base64;
import java.util.Locale;

/** Writes a report as one HTML page that needs no other file. */
public final class HtmlReport {

    private static final double ALL_OF_IT = 1;
    private static final String STYLE =
            "body{font:14px/1.45 system-ui,sans-serif;margin:2rem"
                + " auto;max-width:64rem;color:#1b1f24}"
                + "table{border-collapse:collapse;width:100%}td,th{padding:.3rem"
                + " .6rem;border-bottom:1px solid #d8dee4;text-align:left}"
                + "td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}"
                + ".hot{background:#ffebe9;font-weight:600}.gap{color:#9a3412}img{max-width:100%}";

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
        burnTable(report, page);
        plot(page, "Availability burn by minute", BurnPlot.availability(report));
        plot(page, "Generated and recomputed tokens by minute", BurnPlot.tokens(report));
        tokenTable(report, page);
        return page.append("</body></html>\n").toString();
    }

    private static void gaps(final FleetReport report, final StringBuilder page) {
        page.append("<p>Collected from ").append(report.collected().size()).append(" daemons.</p>");
        for (final String text : report.missing()) {
            page.append("<p class=\"gap\">Not collected: ").append(escape(text)).append("</p>");
        }
        for (final String text : report.notes()) {
            page.append("<p class=\"gap\">Note: ").append(escape(text)).append("</p>");
        }
    }

    private static void burnTable(final FleetReport report, final StringBuilder page) {
        page.append("<table><tr><th>Customer</th><th>Tier</th><th>Promise</th>");
        for (final Window window : Window.values()) {
            page.append("<th class=\"n\">").append(window.title()).append("</th>");
        }
        page.append("</tr>");
        for (final FleetReport.Line line : report.lines()) {
            for (final ServiceLevel level : ServiceLevel.values()) {
                page.append("<tr><td>")
                        .append(escape(line.key().customer().value()))
                        .append("</td><td>")
                        .append(escape(line.key().tier()))
                        .append("</td><td>")
                        .append(level.title())
                        .append("</td>");
                for (final Window window : Window.values()) {
                    burnCell(line.burn(level, window), page);
                }
                page.append("</tr>");
            }
        }
        page.append("</table>");
    }

    private static void burnCell(final double burn, final StringBuilder page) {
        page.append(burn > ALL_OF_IT ? "<td class=\"n hot\">" : "<td class=\"n\">")
                .append(String.format(Locale.ROOT, "%.2f", burn))
                .append("</td>");
    }

    private static void tokenTable(final FleetReport report, final StringBuilder page) {
        page.append("<h2>Tokens and cost</h2><table><tr><th>Window</th>")
                .append("<th class=\"n\">Completed requests</th><th class=\"n\">Generated</th>")
                .append("<th class=\"n\">Recomputed</th><th class=\"n\">Recomputed share</th>")
                .append("<th class=\"n\">Cost of 1,000 completed</th></tr>");
        for (final Window window : Window.values()) {
            final Counts sum = report.total(window);
            final String price =
                    report.pricePerThousand(window).stream()
                            .mapToObj(value -> String.format(Locale.ROOT, "%.4f", value))
                            .findFirst()
                            .orElse("not known");
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%s</td><td class=\"n\">%d</td><td class=\"n\">%d</td>"
                                    + "<td class=\"n\">%d</td><td class=\"n\">%.2f%%</td>"
                                    + "<td class=\"n\">%s</td></tr>",
                            window.title(),
                            sum.good(),
                            sum.generatedTokens(),
                            sum.recomputedTokens(),
                            sum.recomputedPercent(),
                            price));
        }
        page.append("</table>");
    }

    private static void plot(final StringBuilder page, final String title, final byte[] image) {
        page.append("<h2>")
                .append(title)
                .append("</h2><img alt=\"")
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
