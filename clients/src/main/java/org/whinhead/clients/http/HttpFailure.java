package org.whinhead.clients.http;

/** The reason why an HTTP call ended without a complete response. */
public enum HttpFailure {
    /** No connection was established, so no byte of the request was sent. */
    CONNECT_FAILED(false),
    /** The connection broke before the response began. */
    CUT_BEFORE_RESPONSE(true),
    /** The connection broke during the response. */
    CUT_DURING_RESPONSE(true),
    /** No data arrived within the timeout. */
    SILENT(true),
    /** The response exceeds the size limit of the call. */
    RESPONSE_TOO_LARGE(true);

    private final boolean mMayHaveArrived;

    HttpFailure(final boolean mayHaveArrived) {
        mMayHaveArrived = mayHaveArrived;
    }

    /** Returns whether the peer may have received the request. */
    public boolean mayHaveArrived() {
        return mMayHaveArrived;
    }
}
