package org.whinhead.cli;

import java.util.Locale;
import org.apache.commons.cli.Option;

/** Every option of every command: its type, default and example. */
public enum CliOption {
    /** A daemon's operator address. */
    DAEMON("daemon", "URI", "the variable WHINHEAD_DAEMON", "--daemon http://10.20.1.11:7002"),
    /** The file with the operator's key. */
    KEY_FILE("key-file", "FILE", "", "--key-file ~/.whinhead-key"),
    /** How long one try may take. */
    TIMEOUT("timeout-seconds", "NUMBER", "10", "--timeout-seconds 30"),
    /** Output for scripts. */
    JSON("json", "", "off", "--json"),
    /** Help on a command. */
    HELP("help", "", "off", "--help"),
    /** Why a change is made. */
    REASON("reason", "TEXT", "", "--reason \"more clerks in court week\""),
    /** Who makes a change. */
    AUTHOR("author", "NAME", "the name of the system's user", "--author aline"),
    /** The revision that a change replaces. */
    BASE("base", "NUMBER", "the revision in force", "--base 4711"),
    /** The name of a change, to repeat it. */
    CHANGE_ID("change-id", "TEXT", "a new one", "--change-id 0f8fad5b"),
    /** Deletes the document. */
    DELETE("delete", "", "off", "--delete"),
    /** Only asks whether a change would be taken. */
    DRY_RUN("dry-run", "", "off", "--dry-run"),
    /** How long to wait until a change is in force on all daemons. */
    WAIT("wait-seconds", "NUMBER", "0", "--wait-seconds 10"),
    /** The most revisions shown. */
    MAX("max", "NUMBER", "20", "--max 100"),
    /** The form of a report. */
    FORMAT("format", "text|json|html", "text", "--format html"),
    /** Where a report is written. */
    OUT("out", "FILE", "the standard output", "--out burn.html"),
    /** What the fleet costs. */
    PRICE("price-per-hour", "NUMBER", "", "--price-per-hour 14.2"),
    /** Saved logs to read in place of asking daemons. */
    LOGS("logs", "FILE,...", "", "--logs edge-1.log,edge-2.log"),
    /** How long asking all daemons may take. */
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

    /** Returns the name after the two dashes. */
    public String optionName() {
        return mName;
    }

    /** Returns the default as text; empty if there is none. */
    public String defaultText() {
        return mDefaultText;
    }

    /** Returns the option as the parser takes it. */
    Option toOption() {
        return Option.builder().longOpt(mName).hasArg(!mType.isEmpty()).get();
    }

    /** Returns the lines about it in the help. */
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
