package org.whinhead.cli.http;

import java.io.Serial;

/** A call got no whole answer. */
public final class HttpCallException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final boolean mMayHaveArrived;

    /**
     * Reports a failed call.
     *
     * @param detail the cause, for people
     * @param mayHaveArrived whether the daemon may have got the request
     */
    public HttpCallException(final String detail, final boolean mayHaveArrived) {
        super(detail);
        mMayHaveArrived = mayHaveArrived;
    }

    /** Tells whether the daemon may have got the request. */
    public boolean mayHaveArrived() {
        return mMayHaveArrived;
    }
}
