package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinhead.api.Arguments;
import org.whinhead.serving.balance.Work;

/** The immutable, decoded head of a caller's request. */
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
    private final Optional<String> mResumedRequest;
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
        mResumedRequest = builder.mResumedRequest;
        mForwardedHeaders = Objects.requireNonNull(builder.mForwardedHeaders, "forwardedHeaders");
    }

    /**
     * Returns a builder of a request.
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
     * Returns the path and query as the caller sent them.
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
     * Returns the time for which the caller waits for the complete response.
     *
     * @return the time from the request's arrival; empty if the caller states none
     */
    public Optional<Duration> deadline() {
        return mDeadline;
    }

    public Work work() {
        return mWork;
    }

    /**
     * Returns the number of tokens that the customer is charged.
     *
     * @return prompt and output tokens together; empty if the caller states none
     */
    public OptionalLong tokens() {
        return mTokens;
    }

    /**
     * Returns the id of the last event that the caller received of a broken stream.
     *
     * @return the event's id; empty if the caller does not resume a stream
     */
    public Optional<String> resumeAfter() {
        return mResumeAfter;
    }

    /**
     * Returns the id of the caller's attempt that brought the first event of a broken stream.
     *
     * @return the id of that attempt; empty if the caller names none
     */
    public Optional<String> resumedRequest() {
        return mResumedRequest;
    }

    /**
     * Returns the headers that are forwarded to the endpoint unchanged.
     *
     * @return the headers, which must not be modified
     */
    public HttpHeaders forwardedHeaders() {
        return mForwardedHeaders;
    }

    /** Builds a {@link CallerRequest}. */
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
        private Optional<String> mResumedRequest = Optional.empty();
        private HttpHeaders mForwardedHeaders;

        private Builder() {}

        /**
         * Sets the request's id.
         *
         * @param id the id, unique for each attempt of the caller
         * @return this builder
         */
        public Builder id(final String id) {
            mId = id;
            return this;
        }

        /**
         * Sets the method, host and target.
         *
         * @param method the method
         * @param host the host that the caller states
         * @param target the path and query
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
         * @param key the key; empty if there is none
         * @return this builder
         */
        public Builder key(final Optional<String> key) {
            mKey = key;
            return this;
        }

        /**
         * Sets the time for which the caller waits.
         *
         * @param deadline the time from the request's arrival; empty if not stated
         * @return this builder
         */
        public Builder deadline(final Optional<Duration> deadline) {
            mDeadline = deadline;
            return this;
        }

        /**
         * Sets the work of an endpoint and the tokens to charge.
         *
         * @param work the prompt and the expected output
         * @param tokens the prompt and output tokens to charge; empty if not stated
         * @return this builder
         */
        public Builder work(final Work work, final OptionalLong tokens) {
            mWork = work;
            mTokens = tokens;
            return this;
        }

        /**
         * Sets the event after which a stream resumes.
         *
         * @param resumeAfter the event's id; empty for a new stream
         * @return this builder
         */
        public Builder resumeAfter(final Optional<String> resumeAfter) {
            mResumeAfter = resumeAfter;
            return this;
        }

        /**
         * Sets the attempt whose stream is resumed.
         *
         * @param resumedRequest the id of the attempt that brought the stream's first event; empty
         *     if the caller names none
         * @return this builder
         */
        public Builder resumedRequest(final Optional<String> resumedRequest) {
            mResumedRequest = resumedRequest;
            return this;
        }

        /**
         * Sets the headers that are forwarded unchanged.
         *
         * @param forwardedHeaders the headers
         * @return this builder
         */
        public Builder forwardedHeaders(final HttpHeaders forwardedHeaders) {
            mForwardedHeaders = forwardedHeaders;
            return this;
        }

        /**
         * Creates the request.
         *
         * @return the request
         */
        public CallerRequest build() {
            return new CallerRequest(this);
        }
    }
}
