package org.whinhead.serving.ratelimit;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * The times at which an endpoint gets requests, one interval apart.
 *
 * <p>A new schedule begins with the end of an interval before it: what was sent before is not
 * known.
 */
final class RequestSchedule {

    private Instant mBefore;
    private Instant mLast;

    RequestSchedule(final Instant now) {
        mLast = Objects.requireNonNull(now, "now");
        mBefore = now;
    }

    /** Returns the earliest free time, which may have passed. */
    Instant nextFree(final Duration interval) {
        return mLast.plus(interval);
    }

    /**
     * Reserves the earliest free time.
     *
     * @param interval the time between two requests
     * @param maxWait the longest wait
     * @param now the current time
     * @return the reserved time; empty if it is too far off
     */
    Optional<Instant> reserve(final Duration interval, final Duration maxWait, final Instant now) {
        final Instant free = nextFree(interval);
        final Instant at = free.isBefore(now) ? now : free;
        if (at.isAfter(now.plus(maxWait))) {
            return Optional.empty();
        }
        mBefore = mLast;
        mLast = at;
        return Optional.of(at);
    }

    /**
     * Frees a reserved time that is not used. Only the last one can be given to others: a later
     * request may have been sent at the next one already.
     */
    void release(final Instant reserved) {
        if (reserved.equals(mLast)) {
            mLast = mBefore;
        }
    }
}
