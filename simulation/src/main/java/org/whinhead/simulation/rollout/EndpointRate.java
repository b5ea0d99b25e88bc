package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.time.Instant;

/** How many requests a second an endpoint gets, as a moving mean. */
final class EndpointRate {

    private static final double MEAN_OVER_SECONDS = 0.6;

    private double mPerSecond;
    private Instant mAt = Instant.EPOCH;

    /** Counts a request, and returns the rate with it. */
    double arrived(final Instant now) {
        final double seconds = Duration.between(mAt, now).toNanos() / 1e9;
        mPerSecond *= Math.exp(-seconds / MEAN_OVER_SECONDS);
        mPerSecond += 1 / MEAN_OVER_SECONDS;
        mAt = now;
        return mPerSecond;
    }
}
