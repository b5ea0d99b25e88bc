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
 * Claims and keeps one duty for one daemon; single-threaded, without input, output or clock.
 *
 * <p>There is no shared clock, and none is needed. The holder counts from the moment before it sent
 * the record, a claimant from the moment after it read it; the append lies between the two, so the
 * holder's end comes first as long as the clocks' rates differ by less than the margin over one
 * duration. A claimant that lags, was paused or started from a checkpoint reads later, hence waits
 * longer.
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
     * Makes a keeper that holds nothing.
     *
     * @param duty the duty
     * @param self the daemon
     * @param terms the times of the lease
     * @param sink takes the lease records
     * @param random the source of the claimant's random wait
     */
    public LeaseElector(
            final String duty,
            final DaemonId self,
            final LeaseTiming terms,
            final RecordSink sink,
            final RandomGenerator random) {
        mDuty = Objects.requireNonNull(duty, "duty");
        mSelf = Objects.requireNonNull(self, "self");
        mTiming = Objects.requireNonNull(terms, "terms");
        mSink = Objects.requireNonNull(sink, "sink");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Takes in the duty's lease after records were folded; asked with the time after the read.
     *
     * @param lease the lease in the fold
     * @param now the time
     */
    public void onLeaseRead(final Optional<LeaseState> lease, final Instant now) {
        if (newestOffset(lease) == newestOffset(mLease)) {
            return;
        }
        final boolean tookOver = mFencing == LogRecord.NONE;
        mLease = lease;
        final Optional<LeaseState> mine = lease.filter(this::isHeldBySelf);
        if (mine.isPresent() && !mReleasing) {
            extend(mine.get(), tookOver);
        } else {
            mFencing = LogRecord.NONE;
            mActUntil = Instant.MIN;
            mReleasing = false;
        }
        mInFlightSince = Optional.empty();
        mClaimNotBefore = earliestClaim(lease, now);
    }

    private void extend(final LeaseState lease, final boolean tookOver) {
        // Only a record that this keeper sent can make it the holder, so the time is there.
        final Instant sentAt = mInFlightSince.orElse(mActUntil);
        if (tookOver || lease.fencing() == mFencing) {
            mFencing = lease.fencing();
            mActUntil = sentAt.plus(lease.duration()).minus(mTiming.margin());
            mRenewNotBefore = sentAt.plus(mTiming.renewInterval());
        }
    }

    private boolean isHeldBySelf(final LeaseState lease) {
        return lease.holder().equals(mSelf) && !lease.released();
    }

    private Instant earliestClaim(final Optional<LeaseState> lease, final Instant now) {
        final Instant wait =
                now.plusMillis(mRandom.nextLong(mTiming.maxClaimJitter().toMillis() + 1));
        final boolean over = lease.isEmpty() || lease.get().released();
        return over ? wait : wait.plus(lease.get().duration()).plus(mTiming.margin());
    }

    /**
     * Time passed: claims a free duty, renews a held one.
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
        final long seen = newestOffset(mLease);
        mReleasing = false;
        mSink.offer(id -> new LogRecord.LeaseTaken(id, mDuty, mSelf, mTiming.duration(), seen), now)
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
     * Gives the duty up at once.
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
     * Tells whether this daemon may act as the holder; asked right before each order.
     *
     * <p>Guards against a holder that was paused past its lease and still believes that it holds
     * it: the answer depends on the time alone, not on records that it has not read yet.
     *
     * @param now the time, read after the last pause that could matter
     */
    public boolean canAct(final Instant now) {
        return mFencing != LogRecord.NONE && now.isBefore(mActUntil);
    }

    /** Returns the fencing number for orders, present while the duty is held. */
    public OptionalLong fencing() {
        return mFencing == LogRecord.NONE ? OptionalLong.empty() : OptionalLong.of(mFencing);
    }

    private static long newestOffset(final Optional<LeaseState> lease) {
        return lease.map(LeaseState::newest).orElse(LogRecord.NONE);
    }
}
