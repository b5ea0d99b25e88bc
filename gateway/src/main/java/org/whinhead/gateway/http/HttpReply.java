package org.whinhead.gateway.http;

import java.util.Objects;

/** A whole answer of a call. */
public final class HttpReply {

    private static final int SUCCESS = 200;

    private final int mStatus;
    private final byte[] mBody;

    /**
     * Makes an answer.
     *
     * @param status its status code
     * @param body its body
     */
    public HttpReply(final int status, final byte[] body) {
        mStatus = status;
        mBody = Objects.requireNonNull(body, "body").clone();
    }

    public int status() {
        return mStatus;
    }

    /**
     * Tells whether the call was carried out.
     *
     * @return whether the status is 200
     */
    public boolean isSuccess() {
        return mStatus == SUCCESS;
    }

    /**
     * Copies the body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return mBody.clone();
    }
}
