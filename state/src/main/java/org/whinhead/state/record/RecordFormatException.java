package org.whinhead.state.record;

/** Bytes on the log are not a record of this system. */
public final class RecordFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what is wrong
     * @param cause the parser's error
     */
    public RecordFormatException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
