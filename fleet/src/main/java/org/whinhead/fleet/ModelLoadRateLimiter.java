package org.whinhead.fleet;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.Arguments;

/**
 * Rate limiter that spaces out model loads to stay within the weight store's transfer rate.
 *
 * <p>Guards against a whole domain's replacements reading weights at the same time: each receives a
 * small share of the rate, and none serves for a long time. Sequential loads make the first engine
 * available soonest, and the last no later.
 */
public final class ModelLoadRateLimiter {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mBytesPerSecond;
    private Instant mBusyUntil = Instant.MIN;

    /**
     * Creates a rate limiter that permits the first load immediately.
     *
     * @param bytesPerSecond the transfer rate of the weight store, at least 1 byte per second
     */
    public ModelLoadRateLimiter(final long bytesPerSecond) {
        mBytesPerSecond = Arguments.requireAtLeast(bytesPerSecond, 1, "bytesPerSecond");
    }

    /**
     * Tries to start a load.
     *
     * @param bytes the size of the weights in bytes
     * @param now the current time
     * @return true if the load may start now; its expected duration is then reserved
     */
    public boolean tryAcquire(final long bytes, final Instant now) {
        if (now.isBefore(mBusyUntil)) {
            return false;
        }
        final long millis = Math.multiplyExact(bytes, MILLIS_PER_SECOND) / mBytesPerSecond;
        mBusyUntil = now.plus(Duration.ofMillis(millis));
        return true;
    }
}
