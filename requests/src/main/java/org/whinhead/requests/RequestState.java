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

/** All that is known of one request in progress. */
final class RequestState {

    /** Where the request stands. */
    enum Phase {
        /** Waits to be admitted. */
        WAITING,
        /** Waits for its at-most-once claim. */
        CLAIMING,
        /** Waits for the time of its next try. */
        PAUSED,
        /** Has an attempt in progress. */
        RUNNING
    }

    private final RequestSpec mSpec;
    private Instant mDeadline;
    private final DeliveredText mDelivered;
    private final Set<EndpointId> mTried = new HashSet<>();
    private Phase mPhase = Phase.WAITING;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private Optional<Attempt> mLive = Optional.empty();
    private Optional<Attempt> mMove = Optional.empty();
    private Optional<Instant> mBlockedSince = Optional.empty();
    private Optional<RecoveryCause> mCause = Optional.empty();
    private Optional<Ticket> mLastTicket = Optional.empty();
    private Instant mNextTry;
    private int mLastNumber;
    private int mAttempts;
    private int mDispatches;
    private int mPossibleRuns;
    private long mRecomputedTokens;
    private boolean mOffered;
    private boolean mClaimHeld;
    private boolean mResumeTried;
    private boolean mMoveTried;
    private boolean mStartOver;
    private boolean mDispatchFree;

    RequestState(final RequestSpec spec, final Instant deadline, final DeliveredText delivered) {
        mSpec = spec;
        mDeadline = deadline;
        mDelivered = delivered;
        mNextTry = spec.arrived();
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

    boolean isLate(final Instant now) {
        return !now.isBefore(mDeadline);
    }

    /** Starts the deadline and the count of possible runs anew, with the attempt in progress. */
    void restartBounds(final Instant now) {
        mDeadline = now.plus(mSpec.tier().requestTimeout());
        mPossibleRuns = 1;
    }

    DeliveredText delivered() {
        return mDelivered;
    }

    Set<EndpointId> tried() {
        return mTried;
    }

    Phase phase() {
        return mPhase;
    }

    void setPhase(final Phase phase) {
        mPhase = phase;
    }

    /** Returns whether any ended attempt may have run. */
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

    /** Returns the move of KV cache that is under way, if any. */
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

    /** Returns why the next dispatch repeats work, if it does. */
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

    Instant nextTry() {
        return mNextTry;
    }

    void pauseUntil(final Instant nextTry) {
        mPhase = Phase.PAUSED;
        mNextTry = nextTry;
    }

    /** Names the next attempt. */
    AttemptId newAttempt() {
        mLastNumber++;
        mAttempts++;
        return new AttemptId(mSpec.id(), mLastNumber);
    }

    /** Makes attempt numbers go on after those that another daemon used. */
    void numberAfter(final int number) {
        mLastNumber = Math.max(mLastNumber, number);
    }

    int lastNumber() {
        return mLastNumber;
    }

    int attempts() {
        return mAttempts;
    }

    int dispatches() {
        return mDispatches;
    }

    /** Counts a dispatch as a possible run, until it turns out not to have run. */
    void countDispatch() {
        mDispatches++;
        mPossibleRuns++;
    }

    /** Returns how many dispatches may have run. */
    int possibleRuns() {
        return mPossibleRuns;
    }

    void withdrawRun() {
        mPossibleRuns--;
    }

    long recomputedTokens() {
        return mRecomputedTokens;
    }

    void addRecomputed(final long tokens) {
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

    /** Tells whether the next dispatch must not continue from text, which an engine rejected. */
    boolean isStartOver() {
        return mStartOver;
    }

    void setStartOver() {
        mStartOver = true;
    }

    /** Tells whether the next dispatch follows a departure and so is not charged as a retry. */
    boolean isDispatchFree() {
        return mDispatchFree;
    }

    void setDispatchFree(final boolean free) {
        mDispatchFree = free;
    }
}
