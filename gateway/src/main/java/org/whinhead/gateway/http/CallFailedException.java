package org.whinhead.gateway.http;

import java.io.IOException;

/** A call got no answer; whether it was carried out is unknown. */
public final class CallFailedException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what happened
     */
    public CallFailedException(final String message) {
        super(message);
    }
}
