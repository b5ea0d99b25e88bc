package org.whinhead.standins.load.result;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.standins.load.mix.PlannedRequest;

/**
 * The result of one request at its caller.
 *
 * @param request the request
 * @param outcome the way in which the request ended
 * @param accepted whether a daemon accepted the request: an answer started or the request ran
 * @param attempts the number of times the request was sent
 * @param resumes the number of attempts that carried a ticket
 * @param tokens the number of correct tokens received
 * @param fault the fault of the answer, if it is wrong
 * @param errorCode the code of the last refusal; empty if there was none
 * @param latency the time from the intended start to the end
 * @param firstToken the time from the intended start to the first token, if any
 */
public record RequestResult(
        PlannedRequest request,
        RequestOutcome outcome,
        boolean accepted,
        int attempts,
        int resumes,
        int tokens,
        Optional<AnswerFault> fault,
        String errorCode,
        Duration latency,
        Optional<Duration> timeToFirstToken) {

    /** Checks that no component is null. */
    public RequestResult {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(fault, "fault");
        Objects.requireNonNull(errorCode, "errorCode");
        Objects.requireNonNull(latency, "latency");
        Objects.requireNonNull(timeToFirstToken, "firstToken");
    }

    /**
     * Returns the idempotency key of a non-idempotent request; it equals the request id. Empty for
     * an idempotent request.
     */
    public Optional<String> idempotencyKey() {
        return request.kind().style().isIdempotent()
                ? Optional.empty()
                : Optional.of(request.id().value());
    }

    /**
     * Creates a builder.
     *
     * @param request the request
     * @param outcome the way in which the request ended
     * @return the builder
     */
    public static Builder builder(final PlannedRequest request, final RequestOutcome outcome) {
        return new Builder(request, outcome);
    }

    /** Builds a {@link RequestResult}. */
    public static final class Builder {
        private final PlannedRequest mRequest;
        private final RequestOutcome mOutcome;
        private boolean mAccepted;
        private int mAttempts;
        private int mResumes;
        private int mTokens;
        private Optional<AnswerFault> mFault = Optional.empty();
        private String mErrorCode = "";
        private Duration mLatency;
        private Optional<Duration> mTimeToFirstToken = Optional.empty();

        private Builder(final PlannedRequest request, final RequestOutcome outcome) {
            mRequest = request;
            mOutcome = outcome;
        }

        /** Sets whether a daemon accepted the request; false by default. */
        public Builder accepted(final boolean accepted) {
            mAccepted = accepted;
            return this;
        }

        /** Sets the number of attempts and how many of them carried a ticket; 0 by default. */
        public Builder attempts(final int attempts, final int resumes) {
            mAttempts = attempts;
            mResumes = resumes;
            return this;
        }

        /** Sets the number of correct tokens received; 0 by default. */
        public Builder tokens(final int tokens) {
            mTokens = tokens;
            return this;
        }

        /** Sets the fault of the answer; none by default. */
        public Builder fault(final Optional<AnswerFault> fault) {
            mFault = fault;
            return this;
        }

        /** Sets the code of the last refusal; empty by default. */
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
