package org.whinhead.gateway.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures the lag of an event loop by the lateness of a periodic task.
 *
 * <p>On a small share of a core a loop may stall for a second while requests wait unread in their
 * sockets, so a request may be as old as the loop is late when it is read. If its deadline were
 * counted from the read, it would be sent to an endpoint after its caller has given up.
 */
public final class LoopLag {

    private final Duration mInterval;
    private Instant mNextDue;
    private Instant mMeasuredAt;
    private Duration mLag = Duration.ZERO;

    /**
     * Creates a measurement of a loop without lag.
     *
     * @param interval the interval of the periodic task
     * @param now the current time
     */
    public LoopLag(final Duration interval, final Instant now) {
        mInterval = interval;
        mMeasuredAt = now;
        mNextDue = now.plus(interval);
    }

    /**
     * Records a run of the periodic task.
     *
     * @param now the current time
     */
    public void taskRan(final Instant now) {
        mLag = lateness(now);
        mMeasuredAt = now;
        mNextDue = now.plus(mInterval);
    }

    /**
     * Returns the greatest age that a request read now may have.
     *
     * @param now the current time
     * @return the current lateness of the task, or that of its last run if the run is recent and
     *     was later; zero without lag
     */
    public Duration lagAt(final Instant now) {
        final Duration overdue = lateness(now);
        final boolean justRan = now.isBefore(mMeasuredAt.plus(mInterval));
        return justRan && mLag.compareTo(overdue) > 0 ? mLag : overdue;
    }

    private Duration lateness(final Instant now) {
        return now.isAfter(mNextDue) ? Duration.between(mNextDue, now) : Duration.ZERO;
    }
}
