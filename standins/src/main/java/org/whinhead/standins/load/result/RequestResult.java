package org.whinhead.standins.load.result;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.standins.load.mix.PlannedRequest;

/**
 * What became of one request, as its caller saw it.
 *
 * @param request the request
 * @param outcome how it ended
 * @param accepted whether a daemon took it: an answer began, or a final answer came
 * @param attempts how many times it was sent
 * @param resumes how many of those carried a ticket
 * @param tokens how many right tokens came
 * @param fault what is wrong with the answer, if anything
 * @param errorCode the last refusal's code; empty if there was none
 * @param latency from the intended start to the end
 * @param firstToken from the intended start to the first token, if one came
 */
public record RequestResult(
        PlannedRequest request,
        Outcome outcome,
        boolean accepted,
        int attempts,
        int resumes,
        int tokens,
        Optional<AnswerFault> fault,
        String errorCode,
        Duration latency,
        Optional<Duration> timeToFirstToken) {

    /** Checks every part. */
    public RequestResult {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(fault, "fault");
        Objects.requireNonNull(errorCode, "errorCode");
        Objects.requireNonNull(latency, "latency");
        Objects.requireNonNull(timeToFirstToken, "firstToken");
    }

    /**
     * Returns the idempotency key that was sent, if the request must not be repeated; it equals the
     * request's identity.
     */
    public Optional<String> idempotencyKey() {
        return request.kind().style().isIdempotent()
                ? Optional.empty()
                : Optional.of(request.id().value());
    }

    /**
     * Starts a builder.
     *
     * @param request the request
     * @param outcome how it ended
     * @return the builder
     */
    public static Builder builder(final PlannedRequest request, final Outcome outcome) {
        return new Builder(request, outcome);
    }

    /** Builds a {@link RequestResult}. */
    public static final class Builder {
        private final PlannedRequest mRequest;
        private final Outcome mOutcome;
        private boolean mAccepted;
        private int mAttempts;
        private int mResumes;
        private int mTokens;
        private Optional<AnswerFault> mFault = Optional.empty();
        private String mErrorCode = "";
        private Duration mLatency;
        private Optional<Duration> mTimeToFirstToken = Optional.empty();

        private Builder(final PlannedRequest request, final Outcome outcome) {
            mRequest = request;
            mOutcome = outcome;
        }

        /** Sets whether a daemon took it; false by default. */
        public Builder accepted(final boolean accepted) {
            mAccepted = accepted;
            return this;
        }

        /** Sets how many times it was sent, and how many of those with a ticket. */
        public Builder attempts(final int attempts, final int resumes) {
            mAttempts = attempts;
            mResumes = resumes;
            return this;
        }

        /** Sets how many right tokens came; 0 by default. */
        public Builder tokens(final int tokens) {
            mTokens = tokens;
            return this;
        }

        /** Sets what is wrong with the answer; nothing by default. */
        public Builder fault(final Optional<AnswerFault> fault) {
            mFault = fault;
            return this;
        }

        /** Sets the last refusal's code; empty by default. */
        public Builder errorCode(final String errorCode) {
            mErrorCode = errorCode;
            return this;
        }

        /** Sets the time from the intended start to the end; required. */
        public Builder latency(final Duration latency) {
            mLatency = latency;
            return this;
        }

        /** Sets the time from the intended start to the first token; none by default. */
        public Builder timeToFirstToken(final Optional<Duration> firstToken) {
            mTimeToFirstToken = firstToken;
            return this;
        }

        /** Builds the result. */
        public RequestResult build() {
            return new RequestResult(
                    mRequest,
                    mOutcome,
                    mAccepted,
                    mAttempts,
                    mResumes,
                    mTokens,
                    mFault,
                    mErrorCode,
                    mLatency,
                    mTimeToFirstToken);
        }
    }
}
