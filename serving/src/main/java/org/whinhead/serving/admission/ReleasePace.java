package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * The pace at which the waiting requests of one service leave this daemon.
 *
 * <p>All daemons see the same free places, and see them fill only with the next reports. Each takes
 * its share of them, by the requests that wait, within the age of the reports.
 */
final class ReleasePace {

    /** The shortest time in which the free places are handed out. */
    private static final Duration MIN_PERIOD = Duration.ofMillis(20);

    /** The longest step: after a pause of the process the places have changed. */
    private static final Duration MAX_STEP = Duration.ofMillis(100);

    private double mDue;
    private Instant mUpdatedAt;

    /**
     * Starts with the first request that waits.
     *
     * @param due a random part of a request, so that daemons in the same state don't act at once
     */
    void start(final double due, final Instant now) {
        mDue = due;
        mUpdatedAt = now;
    }

    /** Adds the share of the free places that has become due. */
    void advance(
            final double room, final double share, final Duration reportAge, final Instant now) {
        final Duration passed = Duration.between(mUpdatedAt, now);
        mUpdatedAt = now;
        final double step = Math.min(passed.toNanos(), MAX_STEP.toNanos());
        final double period = Math.max(reportAge.toNanos(), (double) MIN_PERIOD.toNanos());
        final double mine = Math.max(room, 0) * share;
        mDue = Math.min(mDue + mine * step / period, Math.max(mine, 1));
    }

    /** Adds the place of a request of this daemon that has ended: this one knows at once. */
    void placeFreed() {
        mDue++;
    }

    /** Returns whether a request may leave, and counts it if so. */
    boolean take() {
        if (mDue < 1) {
            return false;
        }
        mDue--;
        return true;
    }
}
