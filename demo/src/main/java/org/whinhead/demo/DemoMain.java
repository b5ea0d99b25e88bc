package org.whinhead.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.ParseException;
import org.whinhead.settings.SettingsException;

/** The command {@code bin/demo}. */
public final class DemoMain {

    /** Exit status if nothing was lost, doubled or wrong. */
    static final int EXIT_PASSED = 0;

    /** Exit status if something was lost, doubled or wrong, or no request was completed. */
    static final int EXIT_FAILED = 1;

    /** Exit status if the options are invalid. */
    static final int EXIT_USAGE = 2;

    private DemoMain() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param arguments the command line
     * @throws IOException if a server cannot be started
     * @throws SettingsException if the example settings are invalid
     * @throws InterruptedException if the run is interrupted
     * @throws ExecutionException if the run fails because of an internal error
     */
    public static void main(final String[] arguments)
            throws IOException, SettingsException, InterruptedException, ExecutionException {
        DemoLogs.toStandardError();
        System.exit(run(System.out, System.err, arguments));
    }

    /**
     * Runs the command.
     *
     * @param out the stream for results
     * @param errors the stream for error messages
     * @param arguments the command line
     * @return the exit status
     */
    static int run(final PrintStream out, final PrintStream errors, final String... arguments)
            throws IOException, SettingsException, InterruptedException, ExecutionException {
        if (DemoOptions.isHelpRequested(arguments)) {
            out.print(DemoOptions.help());
            return EXIT_PASSED;
        }
        final DemoOptions options;
        try {
            options = DemoOptions.parse(arguments);
        } catch (final ParseException e) {
            errors.println(e.getMessage());
            return EXIT_USAGE;
        }
        final DemoResult result = DemoRun.run(options.config());
        final DemoReport report = new DemoReport(result);
        out.println(report.table());
        if (options.json()) {
            out.println(report.json());
        }
        return result.isGuaranteeKept() ? EXIT_PASSED : EXIT_FAILED;
    }
}
