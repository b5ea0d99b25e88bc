package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.time.Instant;

/** How many requests a second an endpoint gets, as a moving mean. */
final class EndpointRate {

    private static final double TIME_CONSTANT_SECONDS = 0.6;

    private double mPerSecond;
    private Instant mLastArrivalAt = Instant.EPOCH;

    /** Counts a request, and returns the rate with it. */
    double recordArrival(final Instant now) {
        final double seconds = Duration.between(mLastArrivalAt, now).toNanos() / 1e9;
        mPerSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
        mPerSecond += 1 / TIME_CONSTANT_SECONDS;
        mLastArrivalAt = now;
        return mPerSecond;
    }
}
