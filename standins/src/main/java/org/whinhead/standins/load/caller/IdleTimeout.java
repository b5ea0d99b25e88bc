package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs an action when a connection was idle for too long. A daemon may stop without closing its
 * connections, for example on a paused VM; without this timeout the caller would wait until its
 * deadline instead of retrying at another daemon.
 */
final class IdleTimeout {

    private final ScheduledExecutorService mTimers;
    private final LongSupplier mNanoClock;
    private Future<?> mTimer = CompletableFuture.completedFuture(null);
    private long mLastActivityAt;
    private long mTimeoutNanos;
    private Runnable mOnTimeout;

    /**
     * Creates a timeout that is not started.
     *
     * @param timers runs the checks
     * @param nanoClock the clock, in nanoseconds from any origin
     */
    IdleTimeout(final ScheduledExecutorService timers, final LongSupplier nanoClock) {
        mTimers = timers;
        mNanoClock = nanoClock;
    }

    /**
     * Starts the timeout and replaces a previous one.
     *
     * @param timeout the longest idle time
     * @param onTimeout runs on the timers' thread when the idle time exceeds the timeout
     */
    synchronized void start(final Duration timeout, final Runnable onTimeout) {
        mLastActivityAt = mNanoClock.getAsLong();
        mTimeoutNanos = timeout.toNanos();
        mOnTimeout = onTimeout;
        schedule(mTimeoutNanos);
    }

    /** Restarts the idle time, because data arrived. */
    synchronized void recordActivity() {
        mLastActivityAt = mNanoClock.getAsLong();
    }

    /** Cancels the timeout. */
    synchronized void cancel() {
        mTimer.cancel(false);
        mOnTimeout = null;
    }

    private void schedule(final long delayNanos) {
        mTimer.cancel(false);
        mTimer = mTimers.schedule(this::check, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        final Runnable action = expiredAction();
        if (action != null) {
            action.run(); // outside the lock, because the action locks the call
        }
    }

    private synchronized Runnable expiredAction() {
        final long remainingNanos = mLastActivityAt + mTimeoutNanos - mNanoClock.getAsLong();
        if (mOnTimeout != null && remainingNanos > 0) {
            schedule(remainingNanos);
            return null;
        }
        return mOnTimeout;
    }
}
