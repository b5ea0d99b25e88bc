package org.whinhead.gateway.time;

import java.time.Duration;
import java.time.Instant;

/**
 * How far an event loop is behind, by the lateness of a task that it should run at a steady pace.
 *
 * <p>On a small part of a core a loop may stand for a second while requests wait unread in their
 * sockets. What it reads then may be as old as it is late. A request whose time is counted from its
 * reading goes on to an endpoint after its caller has given up.
 */
public final class LoopLag {

    private final Duration mInterval;
    private Instant mNextDue;
    private Instant mMeasuredAt;
    private Duration mLag = Duration.ZERO;

    /**
     * Makes a measure of a loop that is in time.
     *
     * @param interval the pace of the task
     * @param now the time
     */
    public LoopLag(final Duration interval, final Instant now) {
        mInterval = interval;
        mMeasuredAt = now;
        mNextDue = now.plus(interval);
    }

    /**
     * Notes that the task runs.
     *
     * @param now the time
     */
    public void taskRan(final Instant now) {
        mLag = lateness(now);
        mMeasuredAt = now;
        mNextDue = now.plus(mInterval);
    }

    /**
     * Tells how old what is read now may be.
     *
     * @param now the time
     * @return how late the task is, or was if it has just run; zero while the loop is in time
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
