package org.whinhead.cli;

import java.io.Serial;

/** A command ends early, with an exit code and a text for the operator. */
public final class CliException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final ExitCode mExitCode;

    /**
     * Ends a command.
     *
     * @param exitCode what the process ends with
     * @param messageKey the key of the text
     * @param arguments the values for the text's places
     */
    public CliException(
            final ExitCode exitCode, final String messageKey, final Object... arguments) {
        super(CliMessages.text(messageKey, arguments));
        mExitCode = exitCode;
    }

    /** Returns what the process ends with. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
