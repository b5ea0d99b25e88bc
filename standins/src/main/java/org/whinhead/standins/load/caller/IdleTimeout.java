package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Guards against a daemon that stops without closing its connections, for example on a paused VM:
 * the connection stays open and silent, and without this the caller would wait until its deadline.
 * With it the silence ends the try, and another daemon is asked as after a broken connection.
 */
final class IdleTimeout {

    private final ScheduledExecutorService mTimers;
    private final LongSupplier mNanoClock;
    private Future<?> mTimer = CompletableFuture.completedFuture(null);
    private long mLastActivityAt;
    private long mTimeoutNanos;
    private Runnable mOnTimeout;

    /**
     * Makes a watch that watches nothing yet.
     *
     * @param timers runs the checks
     * @param nanos the time in nanoseconds
     */
    IdleTimeout(final ScheduledExecutorService timers, final LongSupplier nanos) {
        mTimers = timers;
        mNanoClock = nanos;
    }

    /**
     * Watches from now on, in place of what was watched before.
     *
     * @param bound the longest silence
     * @param onSilence runs on the timers' thread when it is exceeded
     */
    synchronized void start(final Duration bound, final Runnable onSilence) {
        mLastActivityAt = mNanoClock.getAsLong();
        mTimeoutNanos = bound.toNanos();
        mOnTimeout = onSilence;
        schedule(mTimeoutNanos);
    }

    /** Notes that something came. */
    synchronized void recordActivity() {
        mLastActivityAt = mNanoClock.getAsLong();
    }

    /** Watches no more. */
    synchronized void cancel() {
        mTimer.cancel(false);
        mOnTimeout = null;
    }

    private void schedule(final long nanos) {
        mTimer.cancel(false);
        mTimer = mTimers.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        final Runnable onSilence = expiredAction();
        if (onSilence != null) {
            onSilence.run(); // outside the lock, because it takes the call's
        }
    }

    private synchronized Runnable expiredAction() {
        final long rest = mLastActivityAt + mTimeoutNanos - mNanoClock.getAsLong();
        if (mOnTimeout != null && rest > 0) {
            schedule(rest);
            return null;
        }
        return mOnTimeout;
    }
}
