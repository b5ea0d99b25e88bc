package org.whinhead.clients.http;

import java.io.IOException;
import java.io.Serial;

/** Signals that an HTTP call ended without a complete response. */
public final class CallFailedException extends IOException {

    @Serial private static final long serialVersionUID = 1L;

    private final HttpFailure mFailure;

    /**
     * Creates an exception for a failed call.
     *
     * @param failure the kind of failure
     * @param detail the cause, as text for a person
     */
    public CallFailedException(final HttpFailure failure, final String detail) {
        super(failure + ": " + detail);
        mFailure = failure;
    }

    /** Returns the kind of failure. */
    public HttpFailure failure() {
        return mFailure;
    }
}
