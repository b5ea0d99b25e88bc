package org.whinhead.gateway.http;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/** A call to be made: immutable, made by its builder. */
public final class HttpCall {

    private final HttpMethod mMethod;
    private final String mTarget;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private final Duration mTimeout;

    private HttpCall(final Builder builder) {
        mMethod = builder.mMethod;
        mTarget = builder.mTarget;
        mHeaders = Map.copyOf(builder.mHeaders);
        mBody = builder.mBody;
        mTimeout = Objects.requireNonNull(builder.mTimeout, "timeout");
    }

    /**
     * Starts a call.
     *
     * @param method its method
     * @param target its path and query
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

    /** Collects the parts of a call. */
    public static final class Builder {

        private final HttpMethod mMethod;
        private final String mTarget;
        private final Map<String, String> mHeaders = new java.util.HashMap<>();
        private byte[] mBody = new byte[0];
        private Duration mTimeout;

        private Builder(final HttpMethod method, final String target) {
            mMethod = Objects.requireNonNull(method, "method");
            mTarget = Objects.requireNonNull(target, "target");
        }

        /**
         * Adds a header.
         *
         * @param name its name
         * @param value its value
         * @return this builder
         */
        public Builder header(final String name, final String value) {
            mHeaders.put(name, value);
            return this;
        }

        /**
         * Sets the body.
         *
         * @param body its bytes
         * @return this builder
         */
        public Builder body(final byte[] body) {
            mBody = body.clone();
            return this;
        }

        /**
         * Sets how long the answer is waited for.
         *
         * @param timeout the time, connecting included
         * @return this builder
         */
        public Builder timeout(final Duration timeout) {
            mTimeout = timeout;
            return this;
        }

        /**
         * Makes the call.
         *
         * @return the call
         */
        public HttpCall build() {
            return new HttpCall(this);
        }
    }
}
