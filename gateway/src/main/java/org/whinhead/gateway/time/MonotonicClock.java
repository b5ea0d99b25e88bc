package org.whinhead.gateway.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never jumps: it starts at the time of day and then follows the steady timer.
 *
 * <p>Timeouts and sliding windows use it, since the time of day may be set back or ahead on a VM.
 */
public final class MonotonicClock implements InstantSource {

    private final Instant mStart;
    private final long mStartNanos;

    /**
     * Starts the clock.
     *
     * @param timeOfDay the time of day, read once
     */
    public MonotonicClock(final InstantSource timeOfDay) {
        mStart = timeOfDay.instant();
        mStartNanos = System.nanoTime();
    }

    @Override
    public Instant instant() {
        return mStart.plusNanos(System.nanoTime() - mStartNanos);
    }
}
