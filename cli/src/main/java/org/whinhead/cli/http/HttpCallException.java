package org.whinhead.cli.http;

import java.io.Serial;

/** Signals that a call ended without a complete response. */
public final class HttpCallException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final boolean mMayHaveArrived;

    /**
     * Creates an exception for a failed call.
     *
     * @param detail the cause, as text for a person
     * @param mayHaveArrived whether the daemon may have received the request
     */
    public HttpCallException(final String detail, final boolean mayHaveArrived) {
        super(detail);
        mMayHaveArrived = mayHaveArrived;
    }

    /** Returns whether the daemon may have received the request. */
    public boolean mayHaveArrived() {
        return mMayHaveArrived;
    }
}
