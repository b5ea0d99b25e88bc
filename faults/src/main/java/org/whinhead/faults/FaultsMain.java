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
import org.whinhead.faults.fuzz.Chain;
import org.whinhead.faults.matrix.Matrix;
import org.whinhead.faults.matrix.MatrixPage;

/** The command {@code bin/fuzz}: random chains for some minutes, or the page of the matrix. */
public final class FaultsMain {

    private static final String HELP = "help";
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int USAGE = 2;

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
     * @throws IOException if the page can't be written
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
                return HELD;
            }
            if (line.hasOption("matrix")) {
                return matrix(Path.of(line.getOptionValue("matrix")), seed(line, Matrix.SEED));
            }
            if (line.hasOption("minutes")) {
                final double minutes = Double.parseDouble(line.getOptionValue("minutes"));
                return fuzz(minutes, seed(line, mClock.millis()));
            }
        } catch (final ParseException | NumberFormatException e) {
            mOut.println(e.getMessage());
        }
        new HelpFormatter().printHelp("bin/fuzz", options);
        return USAGE;
    }

    private static Options options() {
        final Options options = new Options();
        options.addOption(
                option("minutes", "N", "plays random chains for so long; e.g. --minutes 0.5"));
        options.addOption(
                option("seed", "S", "the first seed; default: the time, or CI's for a matrix"));
        options.addOption(
                option("matrix", "FILE", "plays the matrix, writes its page; e.g. docs/FAULTS.md"));
        options.addOption(Option.builder().longOpt(HELP).desc("prints this text").build());
        return options;
    }

    private static Option option(final String name, final String argument, final String about) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(about).build();
    }

    private static long seed(final CommandLine line, final long otherwise) {
        return line.hasOption("seed") ? Long.parseLong(line.getOptionValue("seed")) : otherwise;
    }

    private int matrix(final Path file, final long seed) throws IOException {
        final Matrix matrix = Matrix.play(seed);
        Files.writeString(file, new MatrixPage(matrix).text(seed));
        matrix.failures().forEach(result -> mOut.println(result.cell() + ": " + result.text()));
        return matrix.failures().isEmpty() ? HELD : BROKEN;
    }

    private int fuzz(final double minutes, final long firstSeed) {
        final long millis = (long) (minutes * Duration.ofMinutes(1).toMillis());
        final long end = mClock.millis() + millis;
        mOut.println("first seed " + firstSeed);
        long seed = firstSeed;
        while (mClock.millis() < end) {
            final Chain chain = Chain.draw(seed);
            final Optional<Throwable> broken = chain.play();
            if (broken.isPresent()) {
                report(chain, broken.get());
                return BROKEN;
            }
            seed++;
        }
        mOut.println(seed - firstSeed + " chains held");
        return HELD;
    }

    private void report(final Chain chain, final Throwable broken) {
        mOut.println("broken with --seed " + chain.seed() + ": " + broken);
        mOut.println("the whole chain:\n" + chain);
        final Chain shrunk = chain.shrunk();
        mOut.println("shrunk:\n" + shrunk);
        shrunk.play().ifPresent(less -> mOut.println("which breaks with " + less));
    }
}
