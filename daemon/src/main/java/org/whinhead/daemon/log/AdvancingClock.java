package org.whinhead.daemon.log;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * A clock that is never set back and goes on while the VM is suspended.
 *
 * <p>Guards against a lease holder that acts past its lease. A wall clock that is set back, and a
 * monotonic clock that stood still while the VM was suspended, both show a lease as longer than the
 * others count it. The later of the two never does: a step forward only ends leases early.
 */
public final class AdvancingClock implements InstantSource {

    private final InstantSource mWall;
    private final LongSupplier mNanos;
    private Instant mLastInstant;
    private long mLastNanos;

    /**
     * Makes a clock.
     *
     * @param wall the wall clock
     * @param nanos the monotonic clock
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
        final Instant progressed = mLastInstant.plusNanos(Math.max(0, nanos - mLastNanos));
        final Instant wall = mWall.instant();
        mLastNanos = nanos;
        mLastInstant = wall.isAfter(progressed) ? wall : progressed;
        return mLastInstant;
    }
}
