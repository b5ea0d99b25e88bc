package org.whinhead.clients.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/** An HTTP request to be sent. */
public final class OutgoingRequest {

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(10);

    private final URI mBase;
    private final HttpString mMethod;
    private final String mPath;
    private final HeaderMap mHeaders;
    private final byte[] mBody;
    private final Duration mConnectTimeout;
    private final Duration mSilenceTimeout;

    private OutgoingRequest(final Builder builder) {
        mBase = builder.mBase;
        mMethod = builder.mMethod;
        mPath = builder.mPath;
        mHeaders = builder.mHeaders;
        mBody = builder.mBody;
        mConnectTimeout = builder.mConnectTimeout;
        mSilenceTimeout = builder.mSilenceTimeout;
    }

    /**
     * Creates a builder.
     *
     * @param base the peer's base address
     * @param path the path and query, beginning with a slash
     * @return the builder
     */
    public static Builder to(final URI base, final String path) {
        return new Builder(base, path);
    }

    /** Returns the peer's base address. */
    public URI base() {
        return mBase;
    }

    HttpString method() {
        return mMethod;
    }

    String path() {
        return mPath;
    }

    HeaderMap headers() {
        return mHeaders;
    }

    byte[] body() {
        return mBody;
    }

    Duration connectTimeout() {
        return mConnectTimeout;
    }

    Duration silenceTimeout() {
        return mSilenceTimeout;
    }

    /** Builds an {@link OutgoingRequest}. */
    public static final class Builder {
        private final URI mBase;
        private final String mPath;
        private final HeaderMap mHeaders = new HeaderMap();
        private HttpString mMethod = Methods.GET;
        private byte[] mBody = new byte[0];
        private Duration mConnectTimeout = DEFAULT_CONNECT_TIMEOUT;
        private Duration mSilenceTimeout = DEFAULT_SILENCE_TIMEOUT;

        private Builder(final URI base, final String path) {
            mBase = Objects.requireNonNull(base, "base");
            mPath = Arguments.requireText(path, "path");
            mHeaders.put(Headers.HOST, base.getAuthority());
        }

        /** Sets the HTTP method; GET by default. */
        public Builder method(final HttpString method) {
            mMethod = method;
            return this;
        }

        /** Sets a header. */
        public Builder header(final String name, final String value) {
            mHeaders.put(new HttpString(name), value);
            return this;
        }

        /** Sets the body, which is not copied, and its media type. */
        public Builder body(final byte[] body, final String contentType) {
            mBody = body;
            mHeaders.put(Headers.CONTENT_TYPE, contentType);
            return this;
        }

        /** Sets the connect timeout; one second by default. */
        public Builder connectTimeout(final Duration timeout) {
            mConnectTimeout = Arguments.requirePositive(timeout, "connectTimeout");
            return this;
        }

        /** Sets the maximum time without data from the peer; ten seconds by default. */
        public Builder silenceTimeout(final Duration timeout) {
            mSilenceTimeout = Arguments.requirePositive(timeout, "silenceTimeout");
            return this;
        }

        /** Builds the request. */
        public OutgoingRequest build() {
            if (mBody.length > 0 || mMethod.equals(Methods.POST)) {
                mHeaders.put(Headers.CONTENT_LENGTH, mBody.length);
            }
            return new OutgoingRequest(this);
        }
    }
}
