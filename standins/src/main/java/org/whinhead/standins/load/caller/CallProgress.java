package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/** What a caller knows of its request so far, over all tries, and what that means at its end. */
final class CallProgress {

    private final PlannedRequest mRequest;
    private final long mStartedAt;
    private final AnswerVerifier mAnswerVerifier;
    private boolean mAccepted;
    private boolean mMayHaveRun;
    private boolean mLastAttemptRefused; // the last word of the daemons was a refusal
    private int mAttempts;
    private int mResumes;
    private String mErrorCode = "";
    private Optional<String> mTicket = Optional.empty();
    private Optional<AnswerFault> mFault = Optional.empty();
    private Optional<Long> mFirstTokenAt = Optional.empty();
    private long mLastTokenAt;

    /**
     * Begins with nothing known.
     *
     * @param request the request
     * @param startedAt when it was meant to start, in nanoseconds
     */
    CallProgress(final PlannedRequest request, final long startedAt) {
        mRequest = request;
        mStartedAt = startedAt;
        mAnswerVerifier = new AnswerVerifier(request);
    }

    /** Returns the comparison with the expected answer. */
    AnswerVerifier answerVerifier() {
        return mAnswerVerifier;
    }

    /** Returns the newest ticket, if there is one. */
    Optional<String> ticket() {
        return mTicket;
    }

    /** Returns how many tries were made. */
    int attempts() {
        return mAttempts;
    }

    /** Notes that the request is sent once more. */
    void recordAttempt() {
        mAttempts++;
        if (mTicket.isPresent()) {
            mResumes++;
        }
    }

    /** Notes that a daemon took the request. */
    void recordAccepted() {
        mAccepted = true;
    }

    /** Tells whether a daemon took the request. */
    boolean isAccepted() {
        return mAccepted;
    }

    /** Notes a ticket. */
    void recordTicket(final String ticket) {
        mTicket = Optional.of(ticket);
    }

    /** Notes that the request may have run, because a try ended without a verdict. */
    void recordInconclusiveAttempt() {
        mMayHaveRun = true;
        mLastAttemptRefused = false;
    }

    /** Tells whether a try may have run. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Notes a refusal. */
    void recordRefusal(final DaemonError error) {
        mErrorCode = error.code();
        mLastAttemptRefused = true;
        mMayHaveRun |= error.verdict() != Verdict.NOT_RUN;
    }

    /** Notes what is wrong with the answer. */
    void recordFault(final AnswerFault fault) {
        mFault = Optional.of(fault);
    }

    /**
     * Notes a right token.
     *
     * @param now the time in nanoseconds
     * @return the time since the one before, if there was one
     */
    Optional<Duration> recordToken(final long now) {
        final Optional<Duration> gap =
                mFirstTokenAt.map(first -> Duration.ofNanos(now - mLastTokenAt));
        if (mFirstTokenAt.isEmpty()) {
            mFirstTokenAt = Optional.of(now);
        }
        mLastTokenAt = now;
        return gap;
    }

    /**
     * Returns the outcome if a daemon refuses the request for good. An answer that had begun was
     * owed whole if the request could be made again; "not run" counts only if no try contradicts.
     */
    Outcome outcomeIfRefused() {
        if (!mMayHaveRun) {
            return Outcome.REFUSED_NOT_RUN;
        }
        return mAccepted && mRequest.kind().style().isIdempotent()
                ? Outcome.LOST
                : Outcome.FAILED_MAY_HAVE_RUN;
    }

    /**
     * Returns the outcome at the deadline.
     *
     * @param pending whether a try was sent and is not answered
     */
    Outcome outcomeAtDeadline(final boolean pending) {
        if (pending || (mMayHaveRun && !mLastAttemptRefused)) {
            return Outcome.LOST;
        }
        return mLastAttemptRefused ? outcomeIfRefused() : Outcome.UNREACHED;
    }

    /**
     * Makes the result.
     *
     * @param outcome how the request ended
     * @param now the time in nanoseconds
     * @return the result
     */
    RequestResult result(final Outcome outcome, final long now) {
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
