package org.whinhead.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.whinhead.standins.load.mix.Deployment;

/**
 * The command line of the demo.
 *
 * @param config the configuration of the run
 * @param json whether a JSON object is printed as the last line
 */
record DemoOptions(DemoConfig config, boolean json) {

    private static final String DEPLOYMENT = "deployment";
    private static final String RATE = "rate";
    private static final String SECONDS = "seconds";
    private static final String NOTICE = "notice";
    private static final String SEED = "seed";
    private static final String JSON = "json";
    private static final String HELP = "help";
    private static final int HELP_WIDTH = 100;

    /**
     * Returns whether the help text is requested, regardless of other arguments.
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
     * @throws ParseException if the command line is invalid; the message names the argument
     */
    static DemoOptions parse(final String... arguments) throws ParseException {
        final CommandLine line = new DefaultParser().parse(options(), arguments);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException(DemoMessages.text("error.stray", line.getArgList().get(0)));
        }
        final DemoConfig defaults = DemoConfig.of(deployment(line));
        final DemoConfig config =
                defaults.toBuilder()
                        .requestsPerSecond(number(line, RATE, 1, defaults.requestsPerSecond()))
                        .duration(seconds(line, SECONDS, 1, defaults.duration()))
                        .notice(seconds(line, NOTICE, 0, defaults.notice()))
                        .seed(number(line, SEED, Integer.MIN_VALUE, (int) defaults.seed()))
                        .build();
        return new DemoOptions(config, line.hasOption(JSON));
    }

    /** Returns the help text. */
    static String help() {
        final StringBuilder text = new StringBuilder();
        final TextHelpAppendable output = new TextHelpAppendable(text);
        output.setMaxWidth(HELP_WIDTH);
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(output)
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            DemoMessages.text("usage"),
                            DemoMessages.text("header"),
                            options(),
                            DemoMessages.text("footer"),
                            false);
        } catch (final IOException e) {
            throw new UncheckedIOException("cannot write the help text to memory", e);
        }
        return text.toString();
    }

    private static Options options() {
        final Options options = new Options();
        for (final String name : List.of(DEPLOYMENT, RATE, SECONDS, NOTICE, SEED)) {
            options.addOption(option(name).hasArg().get());
        }
        for (final String name : List.of(JSON, HELP)) {
            options.addOption(option(name).get());
        }
        return options;
    }

    private static Option.Builder option(final String name) {
        return Option.builder().longOpt(name).desc(DemoMessages.text("option." + name));
    }

    private static Deployment deployment(final CommandLine line) throws ParseException {
        final String name = line.getOptionValue(DEPLOYMENT, Deployment.INKIKO.workload().name());
        try {
            return Deployment.fromName(name);
        } catch (final IllegalArgumentException e) {
            throw new ParseException(DemoMessages.text("error.deployment", name));
        }
    }

    private static Duration seconds(
            final CommandLine line,
            final String name,
            final int minimum,
            final Duration defaultValue)
            throws ParseException {
        return Duration.ofSeconds(number(line, name, minimum, (int) defaultValue.toSeconds()));
    }

    private static int number(
            final CommandLine line, final String name, final int minimum, final int defaultValue)
            throws ParseException {
        final String text = line.getOptionValue(name, Integer.toString(defaultValue));
        try {
            final int number = Integer.parseInt(text);
            if (number >= minimum) {
                return number;
            }
        } catch (final NumberFormatException e) {
            // Reported below, like a number that is too small.
        }
        throw new ParseException(DemoMessages.text("error.number", name, minimum, text));
    }
}
