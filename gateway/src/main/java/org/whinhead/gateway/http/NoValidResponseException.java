package org.whinhead.gateway.http;

import java.io.IOException;

/** Thrown when a call got no valid response; it is unknown whether the server executed it. */
public final class NoValidResponseException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the cause
     */
    public NoValidResponseException(final String message) {
        super(message);
    }
}
