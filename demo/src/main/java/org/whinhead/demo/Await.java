package org.whinhead.demo;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Polls for a condition that another thread or process fulfills, with a timeout. */
public final class Await {

    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param description the condition, for the error message
     * @param timeout the longest wait
     * @param condition the condition, which is polled
     * @throws Exception if the condition throws it or does not hold within the timeout
     */
    public static void until(
            final String description, final Duration timeout, final Callable<Boolean> condition)
            throws Exception {
        final long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("not within " + timeout + ": " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
