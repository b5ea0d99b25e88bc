package org.whinhead.serving.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One daemon's view of the lease.
 *
 * <p>A record is appended only if the store still ends where this daemon last saw it end, so of two
 * daemons that try at once one fails. A candidate waits until the store has not changed for the
 * time to live; a holder stops acting well before that, by the steady clock and by the time of day,
 * since the steady clock stands still while a VM is suspended.
 */
public final class DutyLease {

    /** What is taken off the time that a holder may act: a call on its way, clocks that differ. */
    private static final Duration ACTING_MARGIN = Duration.ofMillis(700);

    /** What a candidate waits beyond the lease, so that two holders never act within it. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(1_000);

    /** Decisions that are kept: more windows than can be due at a time. */
    private static final int MAX_DECISIONS = 6;

    private final String mSelf;
    private final Duration mTerm;
    private List<UsageDecision> mDecisions = List.of();
    private long mEndOffset = -1;
    private Instant mUnchangedSince;
    private boolean mReleased;
    private boolean mOwnRecord;
    private long mHighestToken;
    private long mBeat;
    private boolean mHeld;
    private long mToken;
    private Instant mRenewedSteady;
    private Instant mRenewedTimeOfDay;

    /**
     * Makes the view of a daemon that holds nothing.
     *
     * @param self names this process
     * @param term the time within which no two holders may act by turns
     */
    public DutyLease(final String self, final Duration term) {
        mSelf = self;
        mTerm = term;
    }

    /**
     * Takes what a read of the store found.
     *
     * @param stored the lease in the store
     * @param steady the steady time at which the read was sent
     */
    public void recordRead(final StoredLease stored, final Instant steady) {
        if (stored.endOffset() < mEndOffset) {
            return;
        }
        if (stored.endOffset() != mEndOffset || mUnchangedSince == null) {
            mEndOffset = stored.endOffset();
            mUnchangedSince = steady;
        }
        if (stored.record().isEmpty()) {
            mReleased = true;
            return;
        }
        final LeaseRecord record = stored.record().get();
        mReleased = record.isReleased();
        mOwnRecord = record.holder().equals(mSelf);
        mDecisions = record.decisions();
        mHighestToken = Math.max(mHighestToken, record.token());
        mBeat = Math.max(mBeat, record.beat());
        if (!mOwnRecord) {
            mHeld = false;
        }
    }

    /**
     * Tells whether this daemon may try to take the lease.
     *
     * <p>A claim whose answer was lost may have landed: then the newest record is this daemon's
     * own, and claiming again is safe, as nobody else has written since.
     *
     * @param steady the steady time
     * @return whether it is free, is this daemon's, or was not renewed for its time to live
     */
    public boolean canClaim(final Instant steady) {
        if (mHeld || mUnchangedSince == null) {
            return false;
        }
        return mReleased
                || mOwnRecord
                || steady.isAfter(mUnchangedSince.plus(mTerm).plus(TAKEOVER_MARGIN));
    }

    /**
     * Makes the record that takes or renews the lease.
     *
     * @param decisions the decisions that it carries
     * @return the record, to be appended at {@link #end()}
     */
    public LeaseRecord claimRecord(final List<UsageDecision> decisions) {
        final long token = mHeld ? mToken : Math.max(mHighestToken, mEndOffset) + 1;
        return new LeaseRecord(mSelf, token, mBeat + 1, newest(decisions));
    }

    /**
     * Makes the record that gives the lease up.
     *
     * @return the record, to be appended at {@link #end()}
     */
    public LeaseRecord releaseRecord() {
        return new LeaseRecord("", mToken, mBeat + 1, mDecisions);
    }

    private static List<UsageDecision> newest(final List<UsageDecision> decisions) {
        final int surplus = Math.max(decisions.size() - MAX_DECISIONS, 0);
        return new ArrayList<>(decisions.subList(surplus, decisions.size()));
    }

    /**
     * Notes that the store took a claim.
     *
     * @param claim the record
     * @param end the store's end behind it
     * @param sentSteady the steady time at which it was sent
     * @param sentTimeOfDay the time of day at which it was sent
     */
    public void recordGranted(
            final LeaseRecord claim,
            final long end,
            final Instant sentSteady,
            final Instant sentTimeOfDay) {
        mHeld = true;
        mToken = claim.token();
        mHighestToken = Math.max(mHighestToken, mToken);
        mBeat = claim.beat();
        mDecisions = claim.decisions();
        mEndOffset = end;
        mUnchangedSince = sentSteady;
        mReleased = false;
        mRenewedSteady = sentSteady;
        mRenewedTimeOfDay = sentTimeOfDay;
    }

    /** Notes that another daemon wrote first, or that this one gave the lease up. */
    public void recordLost() {
        mHeld = false;
    }

    public boolean isHeld() {
        return mHeld;
    }

    /**
     * Tells whether the holder may act now.
     *
     * @param steady the steady time
     * @param timeOfDay the time of day
     * @return the fencing token to act with, if the lease is surely held
     */
    public Optional<Long> fencingToken(final Instant steady, final Instant timeOfDay) {
        if (!mHeld) {
            return Optional.empty();
        }
        final Duration most = mTerm.minus(ACTING_MARGIN);
        final boolean stale =
                Duration.between(mRenewedSteady, steady).compareTo(most) > 0
                        || Duration.between(mRenewedTimeOfDay, timeOfDay).abs().compareTo(most) > 0;
        return stale ? Optional.empty() : Optional.of(mToken);
    }

    public long endOffset() {
        return Math.max(mEndOffset, 0);
    }

    public List<UsageDecision> decisions() {
        return mDecisions;
    }
}
