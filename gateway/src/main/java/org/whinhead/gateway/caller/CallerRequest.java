package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinhead.api.Arguments;
import org.whinhead.serving.balance.Work;

/** A caller's request, decoded: immutable, made by its builder. */
public final class CallerRequest {

    private final String mId;
    private final HttpMethod mMethod;
    private final String mHost;
    private final String mTarget;
    private final Optional<String> mKey;
    private final Optional<Duration> mDeadline;
    private final Work mWork;
    private final OptionalLong mTokens;
    private final Optional<String> mResumeAfter;
    private final HttpHeaders mForwardedHeaders;

    private CallerRequest(final Builder builder) {
        mId = Arguments.requireText(builder.mId, "id");
        mMethod = Objects.requireNonNull(builder.mMethod, "method");
        mHost = Objects.requireNonNull(builder.mHost, "host");
        mTarget = Objects.requireNonNull(builder.mTarget, "target");
        mKey = builder.mKey;
        mDeadline = builder.mDeadline;
        mWork = builder.mWork;
        mTokens = builder.mTokens;
        mResumeAfter = builder.mResumeAfter;
        mForwardedHeaders = Objects.requireNonNull(builder.mForwardedHeaders, "forwarded");
    }

    /**
     * Starts a request.
     *
     * @return a builder for a plain request without key and deadline
     */
    public static Builder builder() {
        return new Builder();
    }

    public String id() {
        return mId;
    }

    public HttpMethod method() {
        return mMethod;
    }

    public String host() {
        return mHost;
    }

    /**
     * Returns the path and query as the caller spelled them.
     *
     * @return the request's target
     */
    public String target() {
        return mTarget;
    }

    /**
     * Returns the path alone.
     *
     * @return the target up to its query
     */
    public String path() {
        final int query = mTarget.indexOf('?');
        return query < 0 ? mTarget : mTarget.substring(0, query);
    }

    public Optional<String> key() {
        return mKey;
    }

    /**
     * Returns how long the caller waits for the whole answer.
     *
     * @return the time from the request's arrival, if the caller states it
     */
    public Optional<Duration> deadline() {
        return mDeadline;
    }

    public Work work() {
        return mWork;
    }

    /**
     * Returns what the request costs its customer.
     *
     * @return prompt and output tokens together, if the caller states them
     */
    public OptionalLong tokens() {
        return mTokens;
    }

    /**
     * Returns the event that the caller has seen last of a broken stream.
     *
     * @return the event's id, if the caller goes on with a stream
     */
    public Optional<String> resumeAfter() {
        return mResumeAfter;
    }

    /**
     * Returns the headers that go on to an endpoint as they are.
     *
     * @return the headers, not to be changed
     */
    public HttpHeaders forwardedHeaders() {
        return mForwardedHeaders;
    }

    /** Collects the parts of a request. */
    public static final class Builder {

        private String mId;
        private HttpMethod mMethod;
        private String mHost;
        private String mTarget;
        private Optional<String> mKey = Optional.empty();
        private Optional<Duration> mDeadline = Optional.empty();
        private Work mWork = Work.PLAIN;
        private OptionalLong mTokens = OptionalLong.empty();
        private Optional<String> mResumeAfter = Optional.empty();
        private HttpHeaders mForwardedHeaders;

        private Builder() {}

        /**
         * Sets the request's id.
         *
         * @param id the id, unique to this attempt of the caller
         * @return this builder
         */
        public Builder id(final String id) {
            mId = id;
            return this;
        }

        /**
         * Sets what is called.
         *
         * @param method the method
         * @param host the host that the caller names
         * @param target path and query
         * @return this builder
         */
        public Builder call(final HttpMethod method, final String host, final String target) {
            mMethod = method;
            mHost = host;
            mTarget = target;
            return this;
        }

        /**
         * Sets the key that the caller presents.
         *
         * @param key the key, if any
         * @return this builder
         */
        public Builder key(final Optional<String> key) {
            mKey = key;
            return this;
        }

        /**
         * Sets how long the caller waits.
         *
         * @param deadline the time, if stated
         * @return this builder
         */
        public Builder deadline(final Optional<Duration> deadline) {
            mDeadline = deadline;
            return this;
        }

        /**
         * Sets what an endpoint has to do.
         *
         * @param work the prompt and output
         * @param tokens what is charged, if stated
         * @return this builder
         */
        public Builder work(final Work work, final OptionalLong tokens) {
            mWork = work;
            mTokens = tokens;
            return this;
        }

        /**
         * Sets the event after which a stream goes on.
         *
         * @param resumeAfter the event's id, if any
         * @return this builder
         */
        public Builder resumeAfter(final Optional<String> resumeAfter) {
            mResumeAfter = resumeAfter;
            return this;
        }

        /**
         * Sets the headers that go on as they are.
         *
         * @param forwarded the headers
         * @return this builder
         */
        public Builder forwardedHeaders(final HttpHeaders forwarded) {
            mForwardedHeaders = forwarded;
            return this;
        }

        /**
         * Makes the request.
         *
         * @return the request
         */
        public CallerRequest build() {
            return new CallerRequest(this);
        }
    }
}
