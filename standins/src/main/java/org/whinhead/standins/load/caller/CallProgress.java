package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/** The state of a request over all of its attempts; derives the outcome at its end. */
final class CallProgress {

    private final PlannedRequest mRequest;
    private final long mStartedAt;
    private final AnswerVerifier mAnswerVerifier;
    private boolean mAccepted;
    private boolean mMayHaveRun;
    private boolean mLastAttemptRefused; // of those that reached a daemon
    private int mAttempts;
    private int mResumes;
    private String mErrorCode = "";
    private Optional<String> mTicket = Optional.empty();
    private Optional<AnswerFault> mFault = Optional.empty();
    private Optional<Long> mFirstTokenAt = Optional.empty();
    private long mLastTokenAt;

    /**
     * Creates the state of a request that was not sent yet.
     *
     * @param request the request
     * @param startedAt the intended start, in nanoseconds
     */
    CallProgress(final PlannedRequest request, final long startedAt) {
        mRequest = request;
        mStartedAt = startedAt;
        mAnswerVerifier = new AnswerVerifier(request);
    }

    /** Returns the verifier of the answer, shared by all attempts. */
    AnswerVerifier answerVerifier() {
        return mAnswerVerifier;
    }

    /** Returns the newest ticket, if a daemon sent one. */
    Optional<String> ticket() {
        return mTicket;
    }

    /** Returns the number of attempts so far. */
    int attempts() {
        return mAttempts;
    }

    /** Counts an attempt, and a resume if the attempt carries a ticket. */
    void recordAttempt() {
        mAttempts++;
        if (mTicket.isPresent()) {
            mResumes++;
        }
    }

    /** Records that a daemon accepted the request. */
    void recordAccepted() {
        mAccepted = true;
    }

    /** Returns whether a daemon accepted the request. */
    boolean isAccepted() {
        return mAccepted;
    }

    /** Replaces the ticket by a newer one. */
    void recordTicket(final String ticket) {
        mTicket = Optional.of(ticket);
    }

    /** Records an attempt that ended without a verdict, so the request may have run. */
    void recordInconclusiveAttempt() {
        mMayHaveRun = true;
        mLastAttemptRefused = false;
    }

    /** Returns whether the request may have run in some attempt. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Records a refusal and its verdict. */
    void recordRefusal(final DaemonError error) {
        mErrorCode = error.code();
        mLastAttemptRefused = true;
        mMayHaveRun |= error.verdict() != Verdict.NOT_RUN;
    }

    /** Records the fault of the answer. */
    void recordFault(final AnswerFault fault) {
        mFault = Optional.of(fault);
    }

    /**
     * Records the arrival of a correct token.
     *
     * @param now the current time in nanoseconds
     * @return the time since the previous token, if there was one
     */
    Optional<Duration> recordToken(final long now) {
        final Optional<Duration> interval =
                mFirstTokenAt.map(first -> Duration.ofNanos(now - mLastTokenAt));
        if (mFirstTokenAt.isEmpty()) {
            mFirstTokenAt = Optional.of(now);
        }
        mLastTokenAt = now;
        return interval;
    }

    /**
     * Returns the outcome after a final refusal. "Not run" is reported only if no attempt may have
     * run. An accepted idempotent request counts as lost, because it could have been run again.
     */
    RequestOutcome outcomeIfRefused() {
        if (!mMayHaveRun) {
            return RequestOutcome.REFUSED_NOT_RUN;
        }
        return mAccepted && mRequest.kind().style().isIdempotent()
                ? RequestOutcome.LOST
                : RequestOutcome.FAILED_MAY_HAVE_RUN;
    }

    /**
     * Returns the outcome at the deadline.
     *
     * @param pending whether an attempt was sent and has no verdict yet
     */
    RequestOutcome outcomeAtDeadline(final boolean pending) {
        if (pending || (mMayHaveRun && !mLastAttemptRefused)) {
            return RequestOutcome.LOST;
        }
        return mLastAttemptRefused ? outcomeIfRefused() : RequestOutcome.UNREACHED;
    }

    /**
     * Creates the result.
     *
     * @param outcome how the request ended
     * @param now the current time in nanoseconds
     * @return the result
     */
    RequestResult result(final RequestOutcome outcome, final long now) {
        return RequestResult.builder(mRequest, outcome)
                .accepted(mAccepted)
                .attempts(mAttempts, mResumes)
                .tokens(mAnswerVerifier.receivedCount())
                .fault(mFault)
                .errorCode(mErrorCode)
                .latency(Duration.ofNanos(now - mStartedAt))
                .timeToFirstToken(mFirstTokenAt.map(first -> Duration.ofNanos(first - mStartedAt)))
                .build();
    }
}
