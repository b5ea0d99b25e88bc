package org.whinhead.state.lease;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordSink;

/**
 * Claims and renews the lease of one duty for one daemon. Single-threaded, without I/O or a clock
 * of its own.
 *
 * <p>No shared clock is needed. The holder counts the duration from before it sent the lease
 * record, a claimant from after it read the record. The append lies between the two, so the
 * holder's lease ends first as long as the clocks drift apart by less than the margin over one
 * duration. A claimant that lags, was paused or started from a checkpoint reads the record later
 * and therefore waits longer.
 */
public final class LeaseElector {

    private final String mDuty;
    private final DaemonId mSelf;
    private final LeaseTiming mTiming;
    private final RecordSink mSink;
    private final RandomGenerator mRandom;
    private Optional<LeaseState> mLease = Optional.empty();
    private Instant mClaimNotBefore = Instant.MIN;
    private Instant mRenewNotBefore = Instant.MIN;
    private Instant mActUntil = Instant.MIN;
    private Optional<Instant> mInFlightSince = Optional.empty();
    private long mFencing = LogRecord.NONE;
    private boolean mReleasing;

    /**
     * Creates an elector that holds no lease.
     *
     * @param duty the duty
     * @param self this daemon
     * @param timing the durations of the lease
     * @param sink the writer of the lease records
     * @param random the source of the random delay before a claim
     */
    public LeaseElector(
            final String duty,
            final DaemonId self,
            final LeaseTiming timing,
            final RecordSink sink,
            final RandomGenerator random) {
        mDuty = Objects.requireNonNull(duty, "duty");
        mSelf = Objects.requireNonNull(self, "self");
        mTiming = Objects.requireNonNull(timing, "timing");
        mSink = Objects.requireNonNull(sink, "sink");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Handles the duty's lease after records were applied.
     *
     * @param lease the duty's lease in the shared state, or empty if it was never claimed
     * @param now the time
     */
    public void onLeaseRead(final Optional<LeaseState> lease, final Instant now) {
        if (newestOffset(lease) == newestOffset(mLease)) {
            return;
        }
        final boolean isNewHolder = mFencing == LogRecord.NONE;
        mLease = lease;
        final Optional<LeaseState> mine = lease.filter(this::isHeldBySelf);
        if (mine.isPresent() && !mReleasing) {
            extend(mine.get(), isNewHolder);
        } else {
            mFencing = LogRecord.NONE;
            mActUntil = Instant.MIN;
            mReleasing = false;
        }
        mInFlightSince = Optional.empty();
        mClaimNotBefore = earliestClaim(lease, now);
    }

    private void extend(final LeaseState lease, final boolean isNewHolder) {
        // Only a record that this elector sent can make it the holder, so the time of sending is
        // present.
        final Instant sentAt = mInFlightSince.orElse(mActUntil);
        if (isNewHolder || lease.fencing() == mFencing) {
            mFencing = lease.fencing();
            mActUntil = sentAt.plus(lease.duration()).minus(mTiming.margin());
            mRenewNotBefore = sentAt.plus(mTiming.renewInterval());
        }
    }

    private boolean isHeldBySelf(final LeaseState lease) {
        return lease.holder().equals(mSelf) && !lease.released();
    }

    private Instant earliestClaim(final Optional<LeaseState> lease, final Instant now) {
        final Instant jittered =
                now.plusMillis(mRandom.nextLong(mTiming.maxClaimJitter().toMillis() + 1));
        final boolean isFree = lease.isEmpty() || lease.get().released();
        return isFree ? jittered : jittered.plus(lease.get().duration()).plus(mTiming.margin());
    }

    /**
     * Claims the duty if its lease has ended, or renews a held lease when that is due. Does nothing
     * while a lease record is in flight.
     *
     * @param wanted whether this daemon wants the duty
     * @param now the time
     */
    public void tick(final boolean wanted, final Instant now) {
        if (mInFlightSince.isPresent()) {
            return;
        }
        if (mFencing != LogRecord.NONE) {
            if (!now.isBefore(mRenewNotBefore)) {
                renew(now);
            }
        } else if (wanted && !now.isBefore(mClaimNotBefore)) {
            claim(now);
        }
    }

    private void claim(final Instant now) {
        final long seenOffset = newestOffset(mLease);
        mReleasing = false;
        mSink.offer(
                        id ->
                                new LogRecord.LeaseTaken(
                                        id, mDuty, mSelf, mTiming.duration(), seenOffset),
                        now)
                .ifPresent(id -> mInFlightSince = Optional.of(now));
    }

    private void renew(final Instant now) {
        final long fencing = mFencing;
        mSink.offer(
                        id ->
                                new LogRecord.LeaseRenewed(
                                        id, mDuty, mSelf, mTiming.duration(), fencing),
                        now)
                .ifPresent(id -> mInFlightSince = Optional.of(now));
    }

    /**
     * Releases the lease. This daemon stops acting as the holder at once.
     *
     * @param now the time
     */
    public void release(final Instant now) {
        if (mFencing == LogRecord.NONE) {
            return;
        }
        final long fencing = mFencing;
        mActUntil = Instant.MIN;
        mReleasing = true;
        mFencing = LogRecord.NONE;
        mSink.offer(id -> new LogRecord.LeaseReleased(id, mDuty, mSelf, fencing), now)
                .ifPresent(id -> mInFlightSince = Optional.of(now));
    }

    /**
     * Returns whether this daemon may act as the holder. Callers check this right before each
     * order.
     *
     * <p>A holder that was paused past its lease may not have read the records of its successor, so
     * the result depends on the time, not on later records.
     *
     * @param now the current time, read as late as possible before the order
     */
    public boolean canAct(final Instant now) {
        return mFencing != LogRecord.NONE && now.isBefore(mActUntil);
    }

    /** Returns the fencing number for orders, or empty if this daemon does not hold the lease. */
    public OptionalLong fencing() {
        return mFencing == LogRecord.NONE ? OptionalLong.empty() : OptionalLong.of(mFencing);
    }

    private static long newestOffset(final Optional<LeaseState> lease) {
        return lease.map(LeaseState::newest).orElse(LogRecord.NONE);
    }
}
