package org.whinhead.state.record;

/** Thrown when bytes on the log are not a record of this system. */
public final class RecordFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the description of the error
     * @param cause the parser's error, or null
     */
    public RecordFormatException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
