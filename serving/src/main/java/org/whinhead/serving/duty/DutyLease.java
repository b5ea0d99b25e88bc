package org.whinhead.serving.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.serving.store.StorePosition;

/**
 * One daemon's view of the lease on the duties.
 *
 * <p>A record is appended only at the end offset that this daemon last read, so of two concurrent
 * claims one fails. A candidate waits until the store has not changed for the term; a holder stops
 * acting before that, by both the steady clock and the time of day, since the steady clock stops
 * while a VM is suspended.
 */
public final class DutyLease {

    /** The margin before the end of the term, for calls in flight and clocks that differ. */
    private static final Duration ACTING_MARGIN = Duration.ofMillis(700);

    /** The time that a candidate waits beyond the term, so that two holders never act at once. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(1_000);

    /** The number of decisions kept, which exceeds the windows that can be due at a time. */
    private static final int MAX_DECISIONS = 6;

    private final String mSelf;
    private final Duration mTerm;
    private List<UsageDecision> mDecisions = List.of();
    private long mEndOffset = -1;
    private long mGrantedEnd = -1;
    private long mOlderCopyEnd = -1;
    private boolean mHeldBeforeOlderCopy;
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
     * Creates the view of a daemon that does not hold the lease.
     *
     * @param self the incarnation of this daemon
     * @param term the time to live of the lease, within which no two holders act
     */
    public DutyLease(final String self, final Duration term) {
        mSelf = self;
        mTerm = term;
    }

    /**
     * Records the result of a read of the store.
     *
     * @param stored the lease in the store
     * @param steady the steady time at which the read was sent
     */
    public void recordRead(final StoredLease stored, final Instant steady) {
        if (stored.endOffset() < mEndOffset) {
            return;
        }
        if (StorePosition.isLaterEra(mEndOffset, stored.endOffset())) {
            mOlderCopyEnd = stored.endOffset();
            mHeldBeforeOlderCopy = mEndOffset == mGrantedEnd;
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
        mDecisions = isOlderCopy() ? withKnownDecisions(record) : record.decisions();
        mHeldBeforeOlderCopy &= record.token() <= mToken;
        mHighestToken = Math.max(mHighestToken, record.token());
        mBeat = Math.max(mBeat, record.beat());
        if (!mOwnRecord) {
            mHeld = false;
        }
    }

    /**
     * Returns whether this daemon may try to claim the lease.
     *
     * <p>A claim whose response was lost may have been appended: then the newest record is this
     * daemon's own, and claiming again is safe, as no other daemon has written since.
     *
     * <p>An older copy of the store may lack the lease of a holder that still acts. Until something
     * is written to it, only that holder may claim at once, as long as its last renewal is valid.
     *
     * @param steady the steady time
     * @return whether the lease was released, was last claimed by this daemon, or has expired
     */
    public boolean canClaim(final Instant steady) {
        if (mHeld || mUnchangedSince == null) {
            return false;
        }
        final boolean claimableAtOnce =
                isOlderCopy()
                        ? mHeldBeforeOlderCopy && isRenewalValid(mRenewedSteady, steady)
                        : mReleased || mOwnRecord;
        return claimableAtOnce || steady.isAfter(mUnchangedSince.plus(mTerm).plus(TAKEOVER_MARGIN));
    }

    /** Returns whether nothing was written since the store returned from an older copy. */
    private boolean isOlderCopy() {
        return mEndOffset >= 0 && mEndOffset == mOlderCopyEnd;
    }

    /** Returns a record's decisions with those known before, which may have been reported. */
    private List<UsageDecision> withKnownDecisions(final LeaseRecord record) {
        final Map<Long, UsageDecision> byWindow = new TreeMap<>();
        record.decisions().forEach(decision -> byWindow.put(decision.window(), decision));
        mDecisions.forEach(decision -> byWindow.put(decision.window(), decision));
        return newest(List.copyOf(byWindow.values()));
    }

    private boolean isRenewalValid(final Instant renewedAt, final Instant now) {
        return Duration.between(renewedAt, now).abs().compareTo(mTerm.minus(ACTING_MARGIN)) <= 0;
    }

    /**
     * Creates the record that claims or renews the lease.
     *
     * @param decisions the decisions, of which the newest are kept in the record
     * @return the record, to be appended at {@link #endOffset()}
     */
    public LeaseRecord claimRecord(final List<UsageDecision> decisions) {
        final long token = mHeld ? mToken : Math.max(mHighestToken, mEndOffset) + 1;
        return new LeaseRecord(mSelf, token, mBeat + 1, newest(decisions));
    }

    /**
     * Creates the record that releases the lease.
     *
     * @return the record, to be appended at {@link #endOffset()}
     */
    public LeaseRecord releaseRecord() {
        return new LeaseRecord("", mToken, mBeat + 1, mDecisions);
    }

    private static List<UsageDecision> newest(final List<UsageDecision> decisions) {
        final int surplus = Math.max(decisions.size() - MAX_DECISIONS, 0);
        return new ArrayList<>(decisions.subList(surplus, decisions.size()));
    }

    /**
     * Records that the store has appended a claim.
     *
     * @param claim the appended record
     * @param endOffset the end offset of the store after the record
     * @param sentSteady the steady time at which the claim was sent
     * @param sentTimeOfDay the time of day at which the claim was sent
     */
    public void recordGranted(
            final LeaseRecord claim,
            final long endOffset,
            final Instant sentSteady,
            final Instant sentTimeOfDay) {
        mHeld = true;
        mToken = claim.token();
        mHighestToken = Math.max(mHighestToken, mToken);
        mBeat = claim.beat();
        mDecisions = claim.decisions();
        mEndOffset = endOffset;
        mGrantedEnd = endOffset;
        mUnchangedSince = sentSteady;
        mReleased = false;
        mRenewedSteady = sentSteady;
        mRenewedTimeOfDay = sentTimeOfDay;
    }

    /** Records that another daemon claimed the lease first, or that this one released it. */
    public void recordLost() {
        mHeld = false;
    }

    public boolean isHeld() {
        return mHeld;
    }

    /**
     * Returns the fencing token if this daemon may act as the holder.
     *
     * @param steady the steady time
     * @param timeOfDay the time of day
     * @return the fencing token; empty if the lease is not held or may expire soon
     */
    public Optional<Long> fencingToken(final Instant steady, final Instant timeOfDay) {
        if (!mHeld) {
            return Optional.empty();
        }
        final boolean valid =
                isRenewalValid(mRenewedSteady, steady)
                        && isRenewalValid(mRenewedTimeOfDay, timeOfDay);
        return valid ? Optional.of(mToken) : Optional.empty();
    }

    public long endOffset() {
        return Math.max(mEndOffset, 0);
    }

    public List<UsageDecision> decisions() {
        return mDecisions;
    }
}
