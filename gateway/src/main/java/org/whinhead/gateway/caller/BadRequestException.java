package org.whinhead.gateway.caller;

/** A request that is refused as it stands, before any of it is acted on. */
public final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what is wrong with the request
     */
    public BadRequestException(final String message) {
        super(message);
    }
}
