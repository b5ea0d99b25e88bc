package org.whinhead.gateway.http;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/** An immutable HTTP request with its timeout. */
public final class OutboundRequest {

    private final HttpMethod mMethod;
    private final String mTarget;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private final Duration mTimeout;
    private final Duration mLongestTransfer;

    private OutboundRequest(final Builder builder) {
        mMethod = builder.mMethod;
        mTarget = builder.mTarget;
        mHeaders = Map.copyOf(builder.mHeaders);
        mBody = builder.mBody;
        mTimeout = Objects.requireNonNull(builder.mTimeout, "timeout");
        mLongestTransfer = builder.mLongestTransfer;
    }

    /**
     * Returns a builder of a call.
     *
     * @param method the method
     * @param target the path and query
     * @return a builder without headers and body
     */
    public static Builder builder(final HttpMethod method, final String target) {
        return new Builder(method, target);
    }

    HttpMethod method() {
        return mMethod;
    }

    String target() {
        return mTarget;
    }

    Map<String, String> headers() {
        return mHeaders;
    }

    byte[] body() {
        return mBody.clone();
    }

    Duration timeout() {
        return mTimeout;
    }

    Duration longestTransfer() {
        return mLongestTransfer;
    }

    /** Builds an {@link OutboundRequest}. */
    public static final class Builder {

        private final HttpMethod mMethod;
        private final String mTarget;
        private final Map<String, String> mHeaders = new java.util.HashMap<>();
        private byte[] mBody = new byte[0];
        private Duration mTimeout;
        private Duration mLongestTransfer = Duration.ZERO;

        private Builder(final HttpMethod method, final String target) {
            mMethod = Objects.requireNonNull(method, "method");
            mTarget = Objects.requireNonNull(target, "target");
        }

        /**
         * Adds a header.
         *
         * @param name the name
         * @param value the value
         * @return this builder
         */
        public Builder header(final String name, final String value) {
            mHeaders.put(name, value);
            return this;
        }

        /**
         * Sets the body.
         *
         * @param body the bytes, which are copied
         * @return this builder
         */
        public Builder body(final byte[] body) {
            mBody = body.clone();
            return this;
        }

        /**
         * Sets the time limit of the call.
         *
         * @param timeout the time from the call to the complete response, including the connect
         * @return this builder
         */
        public Builder timeout(final Duration timeout) {
            mTimeout = timeout;
            return this;
        }

        /**
         * Lets the call last longer than its time limit while its response arrives: the time limit
         * begins again with each part of it.
         *
         * @param longest the time from the call to the complete response
         * @return this builder
         */
        public Builder longestTransfer(final Duration longest) {
            mLongestTransfer = longest;
            return this;
        }

        /**
         * Creates the call.
         *
         * @return the call
         */
        public OutboundRequest build() {
            return new OutboundRequest(this);
        }
    }
}
