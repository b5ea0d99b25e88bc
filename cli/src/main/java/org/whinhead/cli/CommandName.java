package org.whinhead.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.cli.Options;
import org.whinhead.cli.command.AddressesCommand;
import org.whinhead.cli.command.ExplainCommand;
import org.whinhead.cli.command.ReportCommand;
import org.whinhead.cli.command.SettingsCheckCommand;
import org.whinhead.cli.command.SettingsGetCommand;
import org.whinhead.cli.command.SettingsHistoryCommand;
import org.whinhead.cli.command.SettingsLoadCommand;
import org.whinhead.cli.command.SettingsPutCommand;
import org.whinhead.cli.command.StatusCommand;

/** The subcommands, each with its words, arguments and options. */
public enum CommandName {
    /** Shows the status of a daemon. */
    STATUS("status", "", 0, 0, true, StatusCommand::new),
    /** Lists the daemon addresses and which of them callers receive. */
    ADDRESSES("addresses", "", 0, 0, true, AddressesCommand::new),
    /** Shows the decisions about a request or an order. */
    EXPLAIN("explain", "ID", 1, 1, true, ExplainCommand::new, CliOption.TOTAL, CliOption.LOGS),
    /** Reports the burn rate of the tiers' error budgets. */
    REPORT(
            "report",
            "",
            0,
            0,
            true,
            ReportCommand::new,
            CliOption.FORMAT,
            CliOption.OUT,
            CliOption.PRICE,
            CliOption.TOTAL),
    /** Shows the document at a path. */
    SETTINGS_GET("settings get", "PATH", 1, 1, true, SettingsGetCommand::new),
    /** Stores or deletes a document. */
    SETTINGS_PUT(
            "settings put",
            "PATH [FILE]",
            1,
            2,
            true,
            SettingsPutCommand::new,
            CliOption.REASON,
            CliOption.AUTHOR,
            CliOption.DELETE,
            CliOption.BASE,
            CliOption.CHANGE_ID,
            CliOption.DRY_RUN,
            CliOption.WAIT),
    /** Stores a list of documents. */
    SETTINGS_LOAD(
            "settings load",
            "FILE",
            1,
            1,
            true,
            SettingsLoadCommand::new,
            CliOption.REASON,
            CliOption.AUTHOR,
            CliOption.CHANGE_ID),
    /** Shows the revisions of a path. */
    SETTINGS_HISTORY(
            "settings history", "PATH", 1, 1, true, SettingsHistoryCommand::new, CliOption.MAX),
    /** Validates files offline. */
    SETTINGS_CHECK(
            "settings check",
            "FILE-OR-DIRECTORY ...",
            1,
            Integer.MAX_VALUE,
            false,
            SettingsCheckCommand::new);

    private static final List<CliOption> DAEMON_OPTIONS =
            List.of(CliOption.DAEMON, CliOption.KEY_FILE, CliOption.TIMEOUT);

    private final List<String> mWords;
    private final String mArguments;
    private final int mMinArguments;
    private final int mMaxArguments;
    private final boolean mCallsDaemon;
    private final Supplier<Command> mFactory;
    private final List<CliOption> mOptions;

    CommandName(
            final String words,
            final String arguments,
            final int minArguments,
            final int maxArguments,
            final boolean callsDaemon,
            final Supplier<Command> factory,
            final CliOption... options) {
        mWords = List.of(words.split(" "));
        mArguments = arguments;
        mMinArguments = minArguments;
        mMaxArguments = maxArguments;
        mCallsDaemon = callsDaemon;
        mFactory = factory;
        mOptions = List.of(options);
    }

    /** Returns the command whose words the command line begins with. */
    static Optional<CommandName> find(final List<String> line) {
        return Arrays.stream(values())
                .filter(name -> line.size() >= name.mWords.size())
                .filter(name -> line.subList(0, name.mWords.size()).equals(name.mWords))
                .findFirst();
    }

    /** Returns the number of words in the name of the command. */
    int wordCount() {
        return mWords.size();
    }

    /** Creates the command. */
    Command create() {
        return mFactory.get();
    }

    /** Returns whether the command accepts a number of positional arguments. */
    boolean acceptsArgumentCount(final int arguments) {
        return arguments >= mMinArguments && arguments <= mMaxArguments;
    }

    /** Returns the options for the parser. */
    Options parserOptions() {
        final Options options = new Options();
        options().forEach(option -> options.addOption(option.toOption()));
        return options;
    }

    private List<CliOption> options() {
        final List<CliOption> options = new ArrayList<>(mOptions);
        options.addAll(mCallsDaemon ? DAEMON_OPTIONS : List.of());
        options.add(CliOption.JSON);
        options.add(CliOption.HELP);
        return options;
    }

    /** Returns the name and the arguments, for example {@code settings get PATH}. */
    String usage() {
        return (String.join(" ", mWords) + " " + mArguments).strip();
    }

    /** Returns the one-line summary of the command. */
    String summary() {
        return CliMessages.text("command." + name().toLowerCase(Locale.ROOT));
    }

    /** Returns the help text of the command. */
    String help() {
        final StringBuilder help = new StringBuilder();
        help.append(CliMessages.text("help.usage", usage())).append('\n');
        help.append(CliMessages.text("help.summary", summary())).append('\n');
        options().forEach(option -> help.append('\n').append(option.help()));
        help.append("\n\n").append(CliMessages.text("help.exits"));
        for (final ExitCode exit : ExitCode.values()) {
            help.append('\n')
                    .append(
                            CliMessages.text(
                                    "help.exit",
                                    exit.number(),
                                    CliMessages.text(exit.messageKey())));
        }
        return help.toString();
    }
}
