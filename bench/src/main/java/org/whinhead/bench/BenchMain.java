package org.whinhead.bench;

import java.io.PrintStream;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command line of the benchmarks. */
public final class BenchMain {

    private static final String JSON = "json";
    private static final String SEED = "seed";
    private static final String HELP = "help";
    private static final String LIST = "list";
    private static final String USAGE =
            "usage: bin/bench NAME [--json] [--seed N] | --list | --help";
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /**
     * Runs one benchmark or lists all.
     *
     * @param arguments the command line
     */
    public static void main(final String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs one benchmark or lists all.
     *
     * @param arguments the command line
     * @param out receives the figures
     * @param errors receives error messages and the usage
     * @return exit code: 0, or 2 for invalid arguments
     */
    static int run(final String[] arguments, final PrintStream out, final PrintStream errors) {
        try {
            return run(new DefaultParser().parse(options(), arguments), out, errors);
        } catch (final ParseException | NumberFormatException e) {
            errors.println(e.getMessage());
            errors.println(USAGE);
            return EXIT_USAGE;
        }
    }

    private static int run(
            final CommandLine line, final PrintStream out, final PrintStream errors) {
        if (line.hasOption(HELP)) {
            out.println(USAGE);
            out.println("NAME is one of:");
        }
        if (line.hasOption(HELP) || line.hasOption(LIST)) {
            list(out);
            return 0;
        }
        final Optional<Benchmark> benchmark =
                line.getArgList().size() == 1
                        ? BenchmarkCatalog.find(line.getArgList().get(0))
                        : Optional.empty();
        if (benchmark.isEmpty()) {
            errors.println(USAGE);
            return EXIT_USAGE;
        }
        final long seed = Long.parseLong(line.getOptionValue(SEED, "1"));
        benchmark.get().run(new BenchOptions(line.hasOption(JSON), seed), out);
        return 0;
    }

    private static void list(final PrintStream out) {
        for (final BenchmarkCatalog entry : BenchmarkCatalog.values()) {
            final Benchmark benchmark = entry.create();
            out.println(benchmark.name() + "\t" + benchmark.description());
        }
    }

    private static Options options() {
        return new Options()
                .addOption(null, JSON, false, "print JSON")
                .addOption(null, SEED, true, "seed of the run")
                .addOption(null, HELP, false, "print this text")
                .addOption(null, LIST, false, "list the benchmarks");
    }
}
