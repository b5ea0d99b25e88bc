package org.whinhead.serving.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
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

    /**
     * The time for which a holder precedes all others after the store has returned from an older
     * copy, as only it knows its decisions for certain.
     */
    private static final Duration HOLDER_PRECEDENCE = Duration.ofMillis(900);

    /** The margin for clocks that differ between daemons, or between two of one daemon. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

    /** The time for which it is known when decisions may have been lost; older windows are late. */
    private static final Duration SPAN_MEMORY = Duration.ofMinutes(2);

    /** The number of decisions kept, which exceeds the windows that can be due at a time. */
    private static final int MAX_DECISIONS = 6;

    private final String mSelf;
    private final Duration mTerm;
    private final TreeMap<Long, UsageDecision> mDecisions = new TreeMap<>();
    private final List<Span> mUnknownSpans = new ArrayList<>();
    private long mEra;
    private Optional<Instant> mSoleUntil = Optional.empty();
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
     * Records a position in the store that was read by any daemon. A position of a later era than
     * before shows that the store has returned from an older copy, which may lack decisions of
     * other holders.
     *
     * @param position the position
     * @param steady the steady time
     * @param timeOfDay the time of day
     */
    public void recordPosition(final long position, final Instant steady, final Instant timeOfDay) {
        if (StorePosition.era(position) <= mEra) {
            return;
        }
        mEra = StorePosition.era(position);
        final boolean soleHolder =
                mSoleUntil.isPresent() && isSuspensionRuledOut(steady, timeOfDay);
        if (!soleHolder) {
            mUnknownSpans.clear();
            mUnknownSpans.add(new Span(Instant.MIN, steady));
            mSoleUntil = Optional.empty();
            return;
        }
        if (steady.isAfter(mSoleUntil.get())) {
            mUnknownSpans.add(new Span(mSoleUntil.get(), steady));
        }
        // Others wait for longer than the term before they claim the lease of an older copy.
        mSoleUntil = Optional.of(steady.plus(mTerm));
        mUnknownSpans.removeIf(span -> span.until().isBefore(steady.minus(SPAN_MEMORY)));
    }

    /** Returns whether both clocks have gone on alike since the last renewal. */
    private boolean isSuspensionRuledOut(final Instant steady, final Instant timeOfDay) {
        final Duration steadyElapsed = Duration.between(mRenewedSteady, steady);
        final Duration elapsed = Duration.between(mRenewedTimeOfDay, timeOfDay);
        return elapsed.minus(steadyElapsed).abs().compareTo(CLOCK_MARGIN) <= 0;
    }

    /**
     * Returns whether another holder may have written a decision at a time that neither the store
     * nor this daemon has any more. The window may have been reported with it.
     *
     * @param steady the steady time at which the window was due
     * @return whether the store has returned from an older copy since, and this daemon was not the
     *     only one that can have held the lease
     */
    public boolean isDecisionUnknown(final Instant steady) {
        return mUnknownSpans.stream().anyMatch(span -> span.contains(steady));
    }

    /** A time in which other holders may have written decisions that this daemon doesn't know. */
    private record Span(Instant after, Instant until) {

        private boolean contains(final Instant time) {
            final Instant untilWithMargin = until.plus(CLOCK_MARGIN);
            return time.plus(CLOCK_MARGIN).isAfter(after) && !time.isAfter(untilWithMargin);
        }
    }

    /**
     * Records a decision that the lease holder tells of, which the store may lose.
     *
     * @param decision the decision
     */
    public void recordPeerDecision(final UsageDecision decision) {
        if (!mDecisions.containsKey(decision.window())) {
            recordDecision(decision);
        }
    }

    /** Keeps a decision; what a record holds replaces what was known. */
    private void recordDecision(final UsageDecision decision) {
        final UsageDecision known = mDecisions.get(decision.window());
        final boolean delivered =
                known != null && known.delivered() && known.counts().equals(decision.counts());
        mDecisions.put(decision.window(), delivered ? decision.asDelivered() : decision);
        while (mDecisions.size() > MAX_DECISIONS) {
            mDecisions.pollFirstEntry();
        }
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
        record.decisions().forEach(this::recordDecision);
        mHeldBeforeOlderCopy &= record.token() <= mToken;
        if (record.token() > mToken) {
            mSoleUntil = Optional.empty();
        }
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
     * is written to it, only that holder may claim at once, as long as its last renewal is valid,
     * and before all others after the term.
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
        final Duration precedence =
                isOlderCopy() && !mHeldBeforeOlderCopy ? HOLDER_PRECEDENCE : Duration.ZERO;
        return claimableAtOnce
                || steady.isAfter(
                        mUnchangedSince.plus(mTerm).plus(TAKEOVER_MARGIN).plus(precedence));
    }

    /** Returns whether nothing was written since the store returned from an older copy. */
    private boolean isOlderCopy() {
        return mEndOffset >= 0 && mEndOffset == mOlderCopyEnd;
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
        return new LeaseRecord("", mToken, mBeat + 1, decisions());
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
        claim.decisions().forEach(this::recordDecision);
        mEndOffset = endOffset;
        mGrantedEnd = endOffset;
        mUnchangedSince = sentSteady;
        mReleased = false;
        mSoleUntil = Optional.of(sentSteady.plus(mTerm).plus(TAKEOVER_MARGIN));
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

    /** Returns the known decisions on the last windows, in the order of the windows. */
    public List<UsageDecision> decisions() {
        return List.copyOf(mDecisions.values());
    }
}
