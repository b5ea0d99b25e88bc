package org.whinhead.gateway.store;

/** A record of the store can't be understood. */
public final class UnreadableRecordException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what can't be understood
     * @param cause what the reader found
     */
    public UnreadableRecordException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
