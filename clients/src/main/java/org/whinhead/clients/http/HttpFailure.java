package org.whinhead.clients.http;

/** How an HTTP call ended without a whole response. */
public enum HttpFailure {
    /** No connection was made, so no byte of the request was sent. */
    CONNECT_FAILED(false),
    /** The connection broke before the response began. */
    CUT_BEFORE_RESPONSE(true),
    /** The connection broke within the response. */
    CUT_DURING_RESPONSE(true),
    /** Nothing arrived for too long. */
    SILENT(true),
    /** The response is larger than the call allows. */
    RESPONSE_TOO_LARGE(true);

    private final boolean mMayHaveArrived;

    HttpFailure(final boolean mayHaveArrived) {
        mMayHaveArrived = mayHaveArrived;
    }

    /** Tells whether the peer may have received the request. */
    public boolean mayHaveArrived() {
        return mMayHaveArrived;
    }
}
