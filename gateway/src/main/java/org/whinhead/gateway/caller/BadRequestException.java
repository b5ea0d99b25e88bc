package org.whinhead.gateway.caller;

/** Thrown for a malformed request, which is refused before anything is done for it. */
public final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the request
     */
    public BadRequestException(final String message) {
        super(message);
    }
}
