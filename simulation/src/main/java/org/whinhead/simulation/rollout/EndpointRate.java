package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.time.Instant;

/** The request rate of an endpoint, as an exponentially weighted moving average. */
final class EndpointRate {

    private static final double TIME_CONSTANT_SECONDS = 0.6;

    private double mPerSecond;
    private Instant mLastArrivalAt = Instant.EPOCH;

    /** Records a request and returns the updated rate, in requests per second. */
    double recordArrival(final Instant now) {
        final double seconds = Duration.between(mLastArrivalAt, now).toNanos() / 1e9;
        mPerSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
        mPerSecond += 1 / TIME_CONSTANT_SECONDS;
        mLastArrivalAt = now;
        return mPerSecond;
    }
}
