package org.whinhead.cli.command;

import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.whinhead.report.FleetReport;
import org.whinhead.report.HtmlReport;
import org.whinhead.report.JsonReport;
import org.whinhead.report.TextReport;

/** The output formats of a report. */
enum ReportFormat {
    /** Tables for a terminal. */
    TEXT {
        @Override
        String write(final FleetReport report) {
            return TextReport.write(report);
        }
    },
    /** A JSON object for scripts. */
    JSON {
        @Override
        String write(final FleetReport report) {
            return JsonReport.write(report) + "\n";
        }
    },
    /** A self-contained HTML page. */
    HTML {
        @Override
        String write(final FleetReport report) throws IOException {
            return HtmlReport.write(report);
        }
    };

    /** Formats a report. */
    abstract String write(FleetReport report) throws IOException;

    /** Returns the format with a name, if any. */
    static Optional<ReportFormat> find(final String name) {
        return Arrays.stream(values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }
}
