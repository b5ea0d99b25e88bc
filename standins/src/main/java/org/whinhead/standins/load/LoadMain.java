package org.whinhead.standins.load;

import java.io.PrintStream;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.ParseException;
import org.whinhead.standins.load.result.LoadResult;

/** The command line program {@code bin/load}. */
public final class LoadMain {

    /** The exit status if some request was completed and none was lost or wrong. */
    static final int EXIT_SUCCESS = 0;

    /** The exit status if a request was lost or wrong, or none was completed. */
    static final int EXIT_FAILURE = 1;

    /** The exit status for invalid options. */
    static final int EXIT_USAGE = 2;

    private LoadMain() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param arguments the command line
     * @throws InterruptedException if the run is interrupted
     * @throws ExecutionException if the run fails because of a bug in this program
     */
    public static void main(final String[] arguments)
            throws InterruptedException, ExecutionException {
        System.exit(run(System.out, System.err, arguments));
    }

    /**
     * Runs the command.
     *
     * @param out receives the results
     * @param errors receives error messages
     * @param arguments the command line
     * @return the exit status
     */
    static int run(final PrintStream out, final PrintStream errors, final String... arguments)
            throws InterruptedException, ExecutionException {
        if (LoadOptions.isHelpRequested(arguments)) {
            out.print(LoadOptions.help());
            return EXIT_SUCCESS;
        }
        final LoadOptions options;
        try {
            options = LoadOptions.parse(arguments);
        } catch (final ParseException e) {
            errors.println(e.getMessage());
            return EXIT_USAGE;
        }
        final LoadRun load = newRun(options);
        final Thread partial =
                new Thread(
                        () ->
                                print(
                                        new RunResultFormatter(load.currentResult(), true),
                                        options,
                                        out));
        Runtime.getRuntime().addShutdownHook(partial);
        final LoadResult result = load.start().get();
        Runtime.getRuntime().removeShutdownHook(partial);
        print(new RunResultFormatter(result), options, out);
        return result.isGuaranteeKept() ? EXIT_SUCCESS : EXIT_FAILURE;
    }

    private static void print(
            final RunResultFormatter report, final LoadOptions options, final PrintStream out) {
        out.println(report.table());
        if (options.json()) {
            out.println(report.json());
        }
    }

    private static LoadRun newRun(final LoadOptions options) {
        return LoadRun.builder(options.deployment().workload(), options.config())
                .duration(options.duration())
                .requestsPerSecond(options.requestsPerSecond())
                .closedLoopCallers(options.closedLoopCallers())
                .seed(options.seed())
                .build();
    }
}
