package org.whinhead.standins.load;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.Arguments;

/** Generates the arrival times of an open loop: a Poisson process, as of independent callers. */
final class ArrivalTimes {

    private final double mMeanNanos;
    private final SplittableRandom mRandom;
    private double mLastNanos;

    /**
     * Creates arrival times that start at zero.
     *
     * @param perSecond the mean number of arrivals per second; at least 1
     * @param seed the seed of the random intervals
     */
    ArrivalTimes(final int perSecond, final long seed) {
        Arguments.requireAtLeast(perSecond, 1, "perSecond");
        mMeanNanos = (double) TimeUnit.SECONDS.toNanos(1) / perSecond;
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the time of the next arrival, in nanoseconds after the start. */
    long next() {
        mLastNanos += -Math.log(1 - mRandom.nextDouble()) * mMeanNanos;
        return (long) mLastNanos;
    }
}
