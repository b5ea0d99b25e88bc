package org.whinhead.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/** Entry point of {@code whinhead}: runs a subcommand and exits with its exit code. */
public final class Main {

    private static final List<String> HELP_WORDS = List.of("help", "--help", "-h");

    private static final String OPTION_START = "-";

    private Main() {}

    /**
     * Runs the program and exits the process.
     *
     * @param arguments the command line
     */
    public static void main(final String[] arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err));
    }

    /**
     * Runs the program without exiting the process.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @param out the standard output
     * @param err the standard error
     * @return the exit code
     */
    public static int run(
            final String[] arguments,
            final Map<String, String> environment,
            final PrintStream out,
            final PrintStream err) {
        final List<String> words = Arrays.asList(arguments);
        if (words.isEmpty() || HELP_WORDS.contains(words.get(0))) {
            printCommands(words.isEmpty() ? err : out);
            return (words.isEmpty() ? ExitCode.USAGE : ExitCode.OK).number();
        }
        final Optional<CommandName> name = CommandName.find(words);
        if (name.isEmpty()) {
            final List<String> named =
                    words.stream().takeWhile(word -> !word.startsWith(OPTION_START)).toList();
            err.println(CliMessages.text("usage.no-such-command", String.join(" ", named)));
            return ExitCode.USAGE.number();
        }
        try {
            final int skipped = name.get().wordCount();
            final String[] rest = Arrays.copyOfRange(arguments, skipped, arguments.length);
            return run(name.get(), rest, environment, out, err).number();
        } catch (CliException e) {
            err.println(e.getMessage());
            return e.exitCode().number();
        }
    }

    private static ExitCode run(
            final CommandName name,
            final String[] rest,
            final Map<String, String> environment,
            final PrintStream out,
            final PrintStream err)
            throws CliException {
        final Invocation invocation = new Invocation(parse(name, rest), environment);
        if (invocation.has(CliOption.HELP)) {
            out.println(name.help());
            return ExitCode.OK;
        }
        if (!name.acceptsArgumentCount(invocation.arguments().size())) {
            throw new CliException(ExitCode.USAGE, "usage.arguments", name.usage());
        }
        final Console console = new Console(out, err, invocation.has(CliOption.JSON));
        return name.create().run(invocation, console);
    }

    private static CommandLine parse(final CommandName name, final String[] rest)
            throws CliException {
        try {
            return new DefaultParser().parse(name.parserOptions(), rest);
        } catch (ParseException e) {
            throw new CliException(ExitCode.USAGE, "usage.option", e.getMessage(), name.usage());
        }
    }

    private static void printCommands(final PrintStream stream) {
        stream.println(CliMessages.text("help.head"));
        for (final CommandName name : CommandName.values()) {
            stream.println(CliMessages.text("help.command", name.usage(), name.summary()));
        }
        // Run by bin/whinhead in another module, which decodes the platform's records.
        stream.println(
                CliMessages.text(
                        "help.command",
                        "configuration check FILE",
                        CliMessages.text("command.configuration_check")));
    }
}
