package org.whinhead.standins.deployment;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.text.MessageFormat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.ResourceBundle;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the command line of the stand-ins. */
final class StandInsOptions {

    private static final ResourceBundle TEXTS =
            ResourceBundle.getBundle("org.whinhead.standins.deployment.messages", Locale.ROOT);
    private static final String DEPLOYMENT = "deployment";
    private static final String PORTS = "ports";
    private static final String SPEED_UP = "speed-up";
    private static final String VM_LAG = "vm-lag-millis";
    private static final String READER_GRACE = "reader-grace-millis";
    private static final String ENTRY = "entry";
    private static final String HELP = "help";
    private static final List<String> WITH_VALUE =
            List.of(DEPLOYMENT, PORTS, SPEED_UP, VM_LAG, READER_GRACE, ENTRY);
    private static final int HELP_WIDTH = 100;
    private static final int HELP_INDENT = 2;

    private StandInsOptions() {}

    /** Returns whether the arguments contain the help option, regardless of other arguments. */
    static boolean wantsHelp(final String... arguments) {
        return List.of(arguments).contains("--" + HELP);
    }

    /** Parses a command line; the exception names the wrong option. */
    static DeploymentConfig parse(final String... arguments) throws ParseException {
        final CommandLine line = new DefaultParser().parse(options(), arguments);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException(text("error.stray", line.getArgList().get(0)));
        }
        final DeploymentPlan plan = plan(line);
        final DeploymentConfig defaults = DeploymentConfig.of(plan);
        return new DeploymentConfig(
                plan,
                (int) number(line, PORTS, plan.ports()),
                speedUp(line),
                millis(line, VM_LAG, defaults.vmLag()),
                millis(line, READER_GRACE, defaults.readerGrace()),
                entries(line));
    }

    /** Returns the help text. */
    static String help() {
        final StringWriter help = new StringWriter();
        new HelpFormatter()
                .printHelp(
                        new PrintWriter(help),
                        HELP_WIDTH,
                        text("usage"),
                        text("header"),
                        options(),
                        HELP_INDENT,
                        HELP_INDENT,
                        text("footer"));
        return help.toString();
    }

    private static Options options() {
        final Options options = new Options();
        WITH_VALUE.forEach(name -> options.addOption(option(name).hasArg().build()));
        return options.addOption(option(HELP).build());
    }

    private static Option.Builder option(final String name) {
        return Option.builder().longOpt(name).desc(text("option." + name));
    }

    private static DeploymentPlan plan(final CommandLine line) throws ParseException {
        final String name = line.getOptionValue(DEPLOYMENT, DeploymentPlan.INKIKO.wireName());
        for (final DeploymentPlan plan : DeploymentPlan.values()) {
            if (plan.wireName().equals(name)) {
                return plan;
            }
        }
        throw new ParseException(text("error.deployment", name));
    }

    private static Duration millis(
            final CommandLine line, final String name, final Duration fallback)
            throws ParseException {
        return Duration.ofMillis((long) number(line, name, fallback.toMillis()));
    }

    private static double speedUp(final CommandLine line) throws ParseException {
        final double factor = number(line, SPEED_UP, 1);
        if (factor == 0) {
            throw new ParseException(text("error.speed-up", line.getOptionValue(SPEED_UP)));
        }
        return factor;
    }

    private static double number(final CommandLine line, final String name, final double fallback)
            throws ParseException {
        final String value = line.getOptionValue(name);
        if (value == null) {
            return fallback;
        }
        try {
            final double number = Double.parseDouble(value);
            if (number >= 0) {
                return number;
            }
        } catch (final NumberFormatException e) {
            // The error below reports text that is not a number as well as negative numbers.
        }
        throw new ParseException(text("error.number", name, value));
    }

    private static List<URI> entries(final CommandLine line) throws ParseException {
        final List<URI> entries = new ArrayList<>();
        if (!line.hasOption(ENTRY)) {
            return entries;
        }
        for (final String value : line.getOptionValues(ENTRY)) {
            if (!value.startsWith("http://")) {
                throw new ParseException(text("error.entry", value));
            }
            entries.add(URI.create(value));
        }
        return entries;
    }

    private static String text(final String key, final Object... arguments) {
        final String text = TEXTS.getString(key);
        return arguments.length == 0
                ? text
                : new MessageFormat(text, Locale.ROOT).format(arguments);
    }
}
