package org.whinhead.fleet;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.Arguments;

/**
 * Spaces out model loads so that together they stay within the weight store's rate.
 *
 * <p>Guards against a whole domain's replacements all reading weights at once: each gets a sliver
 * of the rate, and none serves for a long time. One load after the other brings the first engine
 * back soonest, and the last no later.
 */
public final class ModelLoadRateLimiter {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mBytesPerSecond;
    private Instant mBusyUntil = Instant.MIN;

    /**
     * Makes a pacer.
     *
     * @param bytesPerSecond the weight store's rate
     */
    public ModelLoadRateLimiter(final long bytesPerSecond) {
        mBytesPerSecond = Arguments.requireAtLeast(bytesPerSecond, 1, "bytesPerSecond");
    }

    /**
     * Tries to begin a load.
     *
     * @param bytes the size of the weights
     * @param now the time
     * @return true if the load may begin now; its share of the rate is then taken
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
