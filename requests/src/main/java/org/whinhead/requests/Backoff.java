package org.whinhead.requests;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes exponential backoff delays with a cap, and with jitter over the upper half of each. */
final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final RequestSettings mSettings;
    private final RandomGenerator mRandom;

    Backoff(final RequestSettings settings, final RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
    }

    /**
     * Returns the delay before the retry that follows the given number of failures (at least 1).
     */
    Duration nextDelay(final int failures) {
        final int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
        final long uncapped = mSettings.firstBackoff().toNanos() << doublings;
        final long capped = Math.min(uncapped, mSettings.maxBackoff().toNanos());
        return Duration.ofNanos(capped / 2 + mRandom.nextLong(capped / 2 + 1));
    }
}
