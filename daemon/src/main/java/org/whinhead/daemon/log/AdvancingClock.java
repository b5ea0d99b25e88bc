package org.whinhead.daemon.log;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * A clock that never goes backward and keeps advancing while the VM is suspended.
 *
 * <p>Guards against a lease holder that acts after its lease has expired. A wall clock that is set
 * back and a monotonic clock that stops during a suspension make a lease look longer than other
 * daemons count it. The later of both never does: a step forward only ends leases early.
 */
public final class AdvancingClock implements InstantSource {

    private final InstantSource mWall;
    private final LongSupplier mNanos;
    private Instant mLastInstant;
    private long mLastNanos;

    /**
     * Creates a clock.
     *
     * @param wall the wall clock
     * @param nanos the monotonic clock, in nanoseconds
     */
    public AdvancingClock(final InstantSource wall, final LongSupplier nanos) {
        mWall = Objects.requireNonNull(wall, "wall");
        mNanos = Objects.requireNonNull(nanos, "nanos");
        mLastInstant = wall.instant();
        mLastNanos = nanos.getAsLong();
    }

    @Override
    public synchronized Instant instant() {
        final long nanos = mNanos.getAsLong();
        final Instant advanced = mLastInstant.plusNanos(Math.max(0, nanos - mLastNanos));
        final Instant wall = mWall.instant();
        mLastNanos = nanos;
        mLastInstant = wall.isAfter(advanced) ? wall : advanced;
        return mLastInstant;
    }
}
