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

/** Every sub-command with its words, arguments and options. */
public enum CommandName {
    /** How a daemon is. */
    STATUS("status", "", 0, 0, true, StatusCommand::new),
    /** Which addresses callers are told. */
    ADDRESSES("addresses", "", 0, 0, true, AddressesCommand::new),
    /** Why a request or an order went as it did. */
    EXPLAIN("explain", "ID", 1, 1, true, ExplainCommand::new, CliOption.TOTAL, CliOption.LOGS),
    /** How fast the tiers' allowances are used up. */
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
    /** What stands at a path. */
    SETTINGS_GET("settings get", "PATH", 1, 1, true, SettingsGetCommand::new),
    /** Puts a document in force. */
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
    /** Puts a list of documents in force. */
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
    /** Who changed a path and why. */
    SETTINGS_HISTORY(
            "settings history", "PATH", 1, 1, true, SettingsHistoryCommand::new, CliOption.MAX),
    /** Checks files offline. */
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
            final int fewest,
            final int most,
            final boolean callsDaemon,
            final Supplier<Command> factory,
            final CliOption... options) {
        mWords = List.of(words.split(" "));
        mArguments = arguments;
        mMinArguments = fewest;
        mMaxArguments = most;
        mCallsDaemon = callsDaemon;
        mFactory = factory;
        mOptions = List.of(options);
    }

    /** Finds the command that a command line begins with. */
    static Optional<CommandName> find(final List<String> line) {
        return Arrays.stream(values())
                .filter(name -> line.size() >= name.mWords.size())
                .filter(name -> line.subList(0, name.mWords.size()).equals(name.mWords))
                .findFirst();
    }

    /** Returns how many words of the command line name the command. */
    int wordCount() {
        return mWords.size();
    }

    /** Makes the command. */
    Command create() {
        return mFactory.get();
    }

    /** Tells whether the command takes a number of positional arguments. */
    boolean acceptsArgumentCount(final int arguments) {
        return arguments >= mMinArguments && arguments <= mMaxArguments;
    }

    /** Returns the options in the form that the parser takes. */
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

    /** Returns the words and arguments, for example {@code settings get PATH}. */
    String usage() {
        return (String.join(" ", mWords) + " " + mArguments).strip();
    }

    /** Returns the line about the command in the list of commands. */
    String summary() {
        return CliMessages.text("command." + name().toLowerCase(Locale.ROOT));
    }

    /** Returns the whole help. */
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
