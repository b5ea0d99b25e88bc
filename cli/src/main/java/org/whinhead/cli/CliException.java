package org.whinhead.cli;

import java.io.Serial;

/** Ends a command with an exit code and a message for the operator. */
public final class CliException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final ExitCode mExitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code of the process
     * @param messageKey the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public CliException(
            final ExitCode exitCode, final String messageKey, final Object... arguments) {
        super(CliMessages.text(messageKey, arguments));
        mExitCode = exitCode;
    }

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
