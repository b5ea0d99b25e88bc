package org.whinhead.gateway.store;

/** Thrown if a record of the store is not readable. */
public final class UnreadableRecordException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the part that is not readable
     * @param cause the error of the decoder
     */
    public UnreadableRecordException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
