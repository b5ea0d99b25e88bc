package org.whinhead.demo;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for what another thread or process brings about, within a bound. */
public final class Await {

    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param what the condition, for the message
     * @param bound the longest wait
     * @param condition asked again and again
     * @throws Exception if the condition throws it, or does not hold in time
     */
    public static void until(
            final String what, final Duration bound, final Callable<Boolean> condition)
            throws Exception {
        final long end = System.nanoTime() + bound.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not within " + bound + ": " + what);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
