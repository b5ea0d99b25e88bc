package org.whinhead.standins.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.whinhead.standins.load.caller.CallerConfig;
import org.whinhead.standins.load.mix.Deployment;

/**
 * The command line options of the load program.
 *
 * @param deployment the deployment whose workload is run
 * @param config addresses and time limits
 * @param requestsPerSecond the mean rate of the open loop
 * @param closedLoopCallers the number of callers of the closed loop; 0 for the open loop
 * @param duration the time during which requests are started
 * @param seed the seed of all random choices
 * @param json whether to print a JSON object
 */
record LoadOptions(
        Deployment deployment,
        CallerConfig config,
        int requestsPerSecond,
        int closedLoopCallers,
        Duration duration,
        long seed,
        boolean json) {

    private static final String TARGET = "target";
    private static final String DEPLOYMENT = "deployment";
    private static final String RATE = "rate";
    private static final String CLOSED = "closed";
    private static final String SECONDS = "seconds";
    private static final String DEADLINE = "deadline-millis";
    private static final String SEED = "seed";
    private static final String JSON = "json";
    private static final String HELP = "help";
    private static final int HELP_WIDTH = 100;
    private static final int DEFAULT_RATE = 50;
    private static final int DEFAULT_SECONDS = 30;
    private static final int DEFAULT_DEADLINE_MILLIS = 30_000;

    /**
     * Returns whether the help text is requested, regardless of the other arguments.
     *
     * @param arguments the command line
     */
    static boolean isHelpRequested(final String... arguments) {
        return List.of(arguments).contains("--" + HELP);
    }

    /**
     * Parses a command line.
     *
     * @param arguments the command line
     * @return the options
     * @throws ParseException if an option is missing or invalid; the message names it
     */
    static LoadOptions parse(final String... arguments) throws ParseException {
        final CommandLine line = new DefaultParser().parse(options(), arguments);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException(LoadMessages.text("error.stray", line.getArgList().get(0)));
        }
        final Duration deadline =
                Duration.ofMillis(parseNumber(line, DEADLINE, 1, DEFAULT_DEADLINE_MILLIS));
        return new LoadOptions(
                deployment(line),
                CallerConfig.of(parseTargets(line)).withDeadline(deadline),
                parseNumber(line, RATE, 1, DEFAULT_RATE),
                parseNumber(line, CLOSED, 0, 0),
                Duration.ofSeconds(parseNumber(line, SECONDS, 1, DEFAULT_SECONDS)),
                parseNumber(line, SEED, Integer.MIN_VALUE, 1),
                line.hasOption(JSON));
    }

    /** Returns the help text. */
    static String help() {
        final StringBuilder text = new StringBuilder();
        final TextHelpAppendable target = new TextHelpAppendable(text);
        target.setMaxWidth(HELP_WIDTH);
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(target)
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            LoadMessages.text("usage"),
                            LoadMessages.text("header"),
                            options(),
                            LoadMessages.text("footer"),
                            false);
        } catch (final IOException e) {
            throw new UncheckedIOException("help text cannot be written to memory", e);
        }
        return text.toString();
    }

    private static Options options() {
        final Options options = new Options();
        options.addOption(valueOption(TARGET).required().get());
        for (final String name : List.of(DEPLOYMENT, RATE, CLOSED, SECONDS, DEADLINE, SEED)) {
            options.addOption(valueOption(name).get());
        }
        for (final String name : List.of(JSON, HELP)) {
            options.addOption(flagOption(name).get());
        }
        return options;
    }

    private static Option.Builder valueOption(final String name) {
        return flagOption(name).hasArg();
    }

    private static Option.Builder flagOption(final String name) {
        return Option.builder().longOpt(name).desc(LoadMessages.text("option." + name));
    }

    private static List<URI> parseTargets(final CommandLine line) throws ParseException {
        final List<URI> targets = new ArrayList<>();
        for (final String text : line.getOptionValues(TARGET)) {
            targets.add(parseTarget(text));
        }
        return targets;
    }

    private static URI parseTarget(final String text) throws ParseException {
        try {
            final URI uri = URI.create(text);
            if (uri.getHost() != null && uri.getScheme().startsWith("http")) {
                return uri;
            }
        } catch (final IllegalArgumentException e) {
            // Reported below, like an address with another scheme.
        }
        throw new ParseException(LoadMessages.text("error.target", text));
    }

    private static Deployment deployment(final CommandLine line) throws ParseException {
        final String name = line.getOptionValue(DEPLOYMENT, Deployment.INKIKO.workload().name());
        try {
            return Deployment.fromName(name);
        } catch (final IllegalArgumentException e) {
            throw new ParseException(LoadMessages.text("error.deployment", name));
        }
    }

    private static int parseNumber(
            final CommandLine line, final String name, final int min, final int defaultValue)
            throws ParseException {
        final String text = line.getOptionValue(name, Integer.toString(defaultValue));
        try {
            final int number = Integer.parseInt(text);
            if (number >= min) {
                return number;
            }
        } catch (final NumberFormatException e) {
            // Reported below, like a number that is too small.
        }
        throw new ParseException(LoadMessages.text("error.number", name, min, text));
    }
}
