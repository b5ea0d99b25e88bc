package org.whinhead.cli;

import java.util.Locale;

/** What the process ends with; stable, so that scripts can go by it. */
public enum ExitCode {
    /** Done, or the answer is yes. */
    OK(0),
    /** A daemon refused, or the answer is no. */
    REFUSED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** No daemon answered; a change may have taken effect all the same. */
    UNREACHABLE(3),
    /** Another change of the same path came first. */
    CONFLICT(4),
    /** The settings are invalid. */
    INVALID(5);

    private final int mNumber;

    ExitCode(final int number) {
        mNumber = number;
    }

    /** Returns the number. */
    public int number() {
        return mNumber;
    }

    /** Returns the key of the line about it in the help. */
    String messageKey() {
        return "exit." + name().toLowerCase(Locale.ROOT);
    }
}
