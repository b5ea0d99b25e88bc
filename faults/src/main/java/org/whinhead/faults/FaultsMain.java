package org.whinhead.faults;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.whinhead.faults.fuzz.ActionSequence;
import org.whinhead.faults.matrix.FaultMatrix;
import org.whinhead.faults.matrix.MatrixPage;

/** The command {@code bin/fuzz}: runs random action sequences or writes the fault matrix page. */
public final class FaultsMain {

    private static final String HELP = "help";
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private final PrintStream mOut;
    private final InstantSource mClock;

    FaultsMain(final PrintStream out, final InstantSource clock) {
        mOut = out;
        mClock = clock;
    }

    /**
     * Runs the command.
     *
     * @param arguments the command line
     * @throws IOException if the matrix page can't be written
     */
    public static void main(final String[] arguments) throws IOException {
        System.exit(new FaultsMain(System.out, InstantSource.system()).run(arguments));
    }

    int run(final String... arguments) throws IOException {
        final Options options = options();
        try {
            final CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption(HELP)) {
                new HelpFormatter().printHelp("bin/fuzz --minutes N | --matrix FILE", options);
                return EXIT_PASSED;
            }
            if (line.hasOption("matrix")) {
                return writeMatrix(
                        Path.of(line.getOptionValue("matrix")), seed(line, FaultMatrix.SEED));
            }
            if (line.hasOption("minutes")) {
                final double minutes = Double.parseDouble(line.getOptionValue("minutes"));
                return runFuzz(minutes, seed(line, mClock.millis()));
            }
        } catch (final ParseException | NumberFormatException e) {
            mOut.println(e.getMessage());
        }
        new HelpFormatter().printHelp("bin/fuzz", options);
        return EXIT_USAGE;
    }

    private static Options options() {
        final Options options = new Options();
        options.addOption(
                option("minutes", "N", "runs random chains for N minutes; e.g. --minutes 0.5"));
        options.addOption(
                option(
                        "seed",
                        "S",
                        "the first seed; default: the current time, or CI's seed for a matrix"));
        options.addOption(
                option(
                        "matrix",
                        "FILE",
                        "runs the matrix and writes its page; e.g. docs/FAULTS.md"));
        options.addOption(Option.builder().longOpt(HELP).desc("prints this text").build());
        return options;
    }

    private static Option option(
            final String name, final String argument, final String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
    }

    private static long seed(final CommandLine line, final long defaultSeed) {
        return line.hasOption("seed") ? Long.parseLong(line.getOptionValue("seed")) : defaultSeed;
    }

    private int writeMatrix(final Path file, final long seed) throws IOException {
        final FaultMatrix matrix = FaultMatrix.run(seed);
        Files.writeString(file, new MatrixPage(matrix).render(seed));
        matrix.failures().forEach(result -> mOut.println(result.cell() + ": " + result.text()));
        return matrix.failures().isEmpty() ? EXIT_PASSED : EXIT_FAILED;
    }

    private int runFuzz(final double minutes, final long firstSeed) {
        final long millis = (long) (minutes * Duration.ofMinutes(1).toMillis());
        final long end = mClock.millis() + millis;
        mOut.println("first seed " + firstSeed);
        long seed = firstSeed;
        while (mClock.millis() < end) {
            final ActionSequence sequence = ActionSequence.generate(seed);
            final Optional<Throwable> failure = sequence.run();
            if (failure.isPresent()) {
                report(sequence, failure.get());
                return EXIT_FAILED;
            }
            seed++;
        }
        mOut.println(seed - firstSeed + " chains held");
        return EXIT_PASSED;
    }

    private void report(final ActionSequence sequence, final Throwable failure) {
        mOut.println("broken with --seed " + sequence.seed() + ": " + failure);
        mOut.println("the whole chain:\n" + sequence);
        final ActionSequence shrunk = sequence.shrink();
        mOut.println("shrunk:\n" + shrunk);
        shrunk.run().ifPresent(last -> mOut.println("which breaks with " + last));
    }
}
