package org.whinhead.cli;

import java.util.Locale;
import org.apache.commons.cli.Option;

/** The options of all commands, each with its type, default and example. */
public enum CliOption {
    /** The operator address of a daemon; repeatable. */
    DAEMON("daemon", "URI", "the variable WHINHEAD_DAEMON", "--daemon http://10.20.1.11:7002"),
    /** The file that contains the operator's key. */
    KEY_FILE("key-file", "FILE", "", "--key-file ~/.whinhead-key"),
    /** The timeout of one call to a daemon, in seconds. */
    TIMEOUT("timeout-seconds", "NUMBER", "10", "--timeout-seconds 30"),
    /** Prints JSON for scripts. */
    JSON("json", "", "off", "--json"),
    /** Prints the help of a command. */
    HELP("help", "", "off", "--help"),
    /** The reason for a change. */
    REASON("reason", "TEXT", "", "--reason \"more clerks in court week\""),
    /** The author of a change. */
    AUTHOR("author", "NAME", "the name of the system's user", "--author aline"),
    /** The revision that a change replaces. */
    BASE("base", "NUMBER", "the revision in force", "--base 4711"),
    /** The id of a change, given to repeat it. */
    CHANGE_ID("change-id", "TEXT", "a new one", "--change-id 0f8fad5b"),
    /** Deletes the document. */
    DELETE("delete", "", "off", "--delete"),
    /** Validates a change without applying it. */
    DRY_RUN("dry-run", "", "off", "--dry-run"),
    /** The time to wait until a change is in force on all daemons, in seconds. */
    WAIT("wait-seconds", "NUMBER", "0", "--wait-seconds 10"),
    /** The maximum number of revisions shown. */
    MAX("max", "NUMBER", "20", "--max 100"),
    /** The output format of a report. */
    FORMAT("format", "text|json|html", "text", "--format html"),
    /** The file to which a report is written. */
    OUT("out", "FILE", "the standard output", "--out burn.html"),
    /** The price of all VMs per hour. */
    PRICE("price-per-hour", "NUMBER", "", "--price-per-hour 14.2"),
    /** Saved log files to read instead of calling daemons. */
    LOGS("logs", "FILE,...", "", "--logs edge-1.log,edge-2.log"),
    /** The time limit for calling all daemons, in seconds. */
    TOTAL("total-seconds", "NUMBER", "30", "--total-seconds 60");

    private final String mName;
    private final String mType;
    private final String mDefaultText;
    private final String mExample;

    CliOption(
            final String name, final String type, final String defaultText, final String example) {
        mName = name;
        mType = type;
        mDefaultText = defaultText;
        mExample = example;
    }

    /** Returns the name without the two dashes. */
    public String optionName() {
        return mName;
    }

    /** Returns the default as text; empty if there is none. */
    public String defaultText() {
        return mDefaultText;
    }

    /** Converts the option to an option of the parser. */
    Option toOption() {
        return Option.builder().longOpt(mName).hasArg(!mType.isEmpty()).get();
    }

    /** Returns the help text of the option. */
    String help() {
        final String head = mType.isEmpty() ? "--" + mName : "--" + mName + " " + mType;
        return CliMessages.text(
                "help.option",
                head,
                CliMessages.text("option." + name().toLowerCase(Locale.ROOT)),
                mType.isEmpty() ? CliMessages.text("help.switch") : mType,
                mDefaultText.isEmpty() ? CliMessages.text("help.none") : mDefaultText,
                mExample);
    }
}
