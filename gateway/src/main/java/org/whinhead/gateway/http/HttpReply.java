package org.whinhead.gateway.http;

import java.util.Objects;

/** The complete response to a call. */
public final class HttpReply {

    private static final int SUCCESS = 200;

    private final int mStatus;
    private final byte[] mBody;

    /**
     * Creates a response.
     *
     * @param status the HTTP status code
     * @param body the body, which is copied
     */
    public HttpReply(final int status, final byte[] body) {
        mStatus = status;
        mBody = Objects.requireNonNull(body, "body").clone();
    }

    public int status() {
        return mStatus;
    }

    /**
     * Returns whether the server executed the call.
     *
     * @return true if the status is 200
     */
    public boolean isSuccess() {
        return mStatus == SUCCESS;
    }

    /**
     * Returns a copy of the body.
     *
     * @return the bytes of the body
     */
    public byte[] body() {
        return mBody.clone();
    }
}
