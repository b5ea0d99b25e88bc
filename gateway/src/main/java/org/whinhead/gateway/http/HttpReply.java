package org.whinhead.gateway.http;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import java.util.Optional;

/** The complete response to a call. */
public final class HttpReply {

    private static final int SUCCESS = 200;

    private final int mStatus;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;

    /**
     * Creates a response without headers.
     *
     * @param status the HTTP status code
     * @param body the body, which is copied
     */
    public HttpReply(final int status, final byte[] body) {
        this(status, EmptyHttpHeaders.INSTANCE, body);
    }

    /**
     * Creates a response.
     *
     * @param status the HTTP status code
     * @param headers the headers, which are copied
     * @param body the body, which is copied
     */
    public HttpReply(final int status, final HttpHeaders headers, final byte[] body) {
        mStatus = status;
        mHeaders = headers.copy();
        mBody = Objects.requireNonNull(body, "body").clone();
    }

    public int status() {
        return mStatus;
    }

    /**
     * Returns the value of a header.
     *
     * @param name the header's name, in any case
     * @return its first value, if the response has the header
     */
    public Optional<String> header(final String name) {
        return Optional.ofNullable(mHeaders.get(name));
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
