package org.whinhead.requests;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Waits between tries that double up to a bound, each with jitter over its upper half. */
final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final RequestSettings mSettings;
    private final RandomGenerator mRandom;

    Backoff(final RequestSettings settings, final RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
    }

    /** Returns the wait before the try that follows a number of failed ones. */
    Duration nextDelay(final int failures) {
        final int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
        final long whole = mSettings.firstBackoff().toNanos() << doublings;
        final long bounded = Math.min(whole, mSettings.maxBackoff().toNanos());
        return Duration.ofNanos(bounded / 2 + mRandom.nextLong(bounded / 2 + 1));
    }
}
