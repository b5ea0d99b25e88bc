package org.whinhead.requests;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Verdict;

/** The state of one request in progress. */
final class RequestState {

    /** The phases of a request. */
    enum Phase {
        /** Waits to be admitted. */
        WAITING,
        /** Waits for its at-most-once claim. */
        CLAIMING,
        /** Waits for the time of its next retry. */
        PAUSED,
        /** Has an attempt in progress. */
        RUNNING
    }

    private final RequestSpec mSpec;
    private Instant mDeadline;
    private final DeliveredText mDelivered;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private Phase mPhase = Phase.WAITING;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private Optional<Attempt> mLive = Optional.empty();
    private Optional<Attempt> mMove = Optional.empty();
    private Optional<Instant> mBlockedSince = Optional.empty();
    private Optional<RecoveryCause> mCause = Optional.empty();
    private Optional<Ticket> mLastTicket = Optional.empty();
    private Instant mRetryAt;
    private int mLastAttemptNumber;
    private int mAttempts;
    private int mDispatches;
    private int mPossibleRuns;
    private long mRecomputedTokens;
    private boolean mOffered;
    private boolean mClaimHeld;
    private boolean mResumeTried;
    private boolean mMoveTried;
    private boolean mStartOverRequired;
    private boolean mExemptFromRetryBudget;

    RequestState(final RequestSpec spec, final Instant deadline, final DeliveredText delivered) {
        mSpec = spec;
        mDeadline = deadline;
        mDelivered = delivered;
        mRetryAt = spec.arrived();
    }

    RequestSpec spec() {
        return mSpec;
    }

    RequestId id() {
        return mSpec.id();
    }

    Instant deadline() {
        return mDeadline;
    }

    boolean isPastDeadline(final Instant now) {
        return !now.isBefore(mDeadline);
    }

    /**
     * Restarts the deadline, and restarts the count of possible runs with the attempt in progress.
     */
    void restartBounds(final Instant now) {
        mDeadline = now.plus(mSpec.tier().requestTimeout());
        mPossibleRuns = 1;
    }

    DeliveredText delivered() {
        return mDelivered;
    }

    Set<EndpointId> triedEndpoints() {
        return mTriedEndpoints;
    }

    Phase phase() {
        return mPhase;
    }

    void setPhase(final Phase phase) {
        mPhase = phase;
    }

    /** Returns the combined verdict on whether the ended attempts ran. */
    Verdict verdict() {
        return mVerdict;
    }

    void addVerdict(final Verdict verdict) {
        mVerdict = mVerdict.combineWith(verdict);
    }

    Optional<Attempt> live() {
        return mLive;
    }

    void setLive(final Optional<Attempt> live) {
        mLive = live;
    }

    /** Returns the KV cache move in progress, if any. */
    Optional<Attempt> move() {
        return mMove;
    }

    void setMove(final Optional<Attempt> move) {
        mMove = move;
    }

    Optional<Instant> blockedSince() {
        return mBlockedSince;
    }

    void setBlockedSince(final Optional<Instant> since) {
        mBlockedSince = since;
    }

    /** Returns the reason why the next dispatch repeats work, if it does. */
    Optional<RecoveryCause> cause() {
        return mCause;
    }

    void setCause(final Optional<RecoveryCause> cause) {
        mCause = cause;
    }

    Optional<Ticket> lastTicket() {
        return mLastTicket;
    }

    void setLastTicket(final Ticket ticket) {
        mLastTicket = Optional.of(ticket);
    }

    Instant retryAt() {
        return mRetryAt;
    }

    void pauseUntil(final Instant retryAt) {
        mPhase = Phase.PAUSED;
        mRetryAt = retryAt;
    }

    /** Assigns the ID of the next attempt. */
    AttemptId nextAttemptId() {
        mLastAttemptNumber++;
        mAttempts++;
        return new AttemptId(mSpec.id(), mLastAttemptNumber);
    }

    /** Skips the attempt numbers up to the given one, which another daemon used. */
    void skipAttemptNumbers(final int number) {
        mLastAttemptNumber = Math.max(mLastAttemptNumber, number);
    }

    int lastAttemptNumber() {
        return mLastAttemptNumber;
    }

    int attempts() {
        return mAttempts;
    }

    int dispatches() {
        return mDispatches;
    }

    /** Counts a dispatch as a possible run, until it is known not to have run. */
    void countDispatch() {
        mDispatches++;
        mPossibleRuns++;
    }

    /** Returns the number of dispatches that may have run. */
    int possibleRuns() {
        return mPossibleRuns;
    }

    void subtractPossibleRun() {
        mPossibleRuns--;
    }

    long recomputedTokens() {
        return mRecomputedTokens;
    }

    void addRecomputedTokens(final long tokens) {
        mRecomputedTokens += tokens;
    }

    boolean isOffered() {
        return mOffered;
    }

    void setOffered() {
        mOffered = true;
    }

    boolean isClaimHeld() {
        return mClaimHeld;
    }

    void setClaimHeld() {
        mClaimHeld = true;
    }

    boolean isResumeTried() {
        return mResumeTried;
    }

    void setResumeTried(final boolean tried) {
        mResumeTried = tried;
    }

    boolean isMoveTried() {
        return mMoveTried;
    }

    void setMoveTried(final boolean tried) {
        mMoveTried = tried;
    }

    /**
     * Returns whether the next dispatch must start over, because an engine rejected continuation.
     */
    boolean isStartOverRequired() {
        return mStartOverRequired;
    }

    void requireStartOver() {
        mStartOverRequired = true;
    }

    /**
     * Returns whether the next dispatch is not charged to the retry budget, since nothing failed.
     */
    boolean isExemptFromRetryBudget() {
        return mExemptFromRetryBudget;
    }

    void setExemptFromRetryBudget(final boolean exempt) {
        mExemptFromRetryBudget = exempt;
    }
}
