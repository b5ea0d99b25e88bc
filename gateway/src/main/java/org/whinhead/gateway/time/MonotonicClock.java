package org.whinhead.gateway.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A monotonic clock: it starts at the time of day and then follows {@link System#nanoTime()}.
 *
 * <p>Timeouts and sliding windows use it, since the time of day may be set back or forward on a VM.
 */
public final class MonotonicClock implements InstantSource {

    private final Instant mStart;
    private final long mStartNanos;

    /**
     * Creates a clock that starts now.
     *
     * @param timeOfDay the time of day, which is read once
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
