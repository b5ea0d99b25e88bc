package org.whinhead.clients.http;

import java.io.IOException;
import java.io.Serial;

/** A call that got no whole response. */
public final class CallFailedException extends IOException {

    @Serial private static final long serialVersionUID = 1L;

    private final HttpFailure mFailure;

    /**
     * Wraps a failure.
     *
     * @param failure how the call ended
     * @param detail the cause, for people
     */
    public CallFailedException(final HttpFailure failure, final String detail) {
        super(failure + ": " + detail);
        mFailure = failure;
    }

    /** Returns how the call ended. */
    public HttpFailure failure() {
        return mFailure;
    }
}
