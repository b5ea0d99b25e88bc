package org.whinhead.cli;

import java.util.Locale;

/** The exit codes of the process. The numbers are stable, because scripts depend on them. */
public enum ExitCode {
    /** The command succeeded, or the answer is yes. */
    OK(0),
    /** A daemon refused the call, or the answer is no or partial. */
    REFUSED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** No daemon responded; a change may still have taken effect. */
    UNREACHABLE(3),
    /** Another change of the same path was applied first. */
    CONFLICT(4),
    /** The settings are invalid. */
    INVALID(5);

    private final int mNumber;

    ExitCode(final int number) {
        mNumber = number;
    }

    /** Returns the exit code as a number. */
    public int number() {
        return mNumber;
    }

    /** Returns the key of the help text of the exit code. */
    String messageKey() {
        return "exit." + name().toLowerCase(Locale.ROOT);
    }
}
