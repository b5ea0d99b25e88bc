package org.whinhead.standins.load;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.Arguments;

/** The arrival times of an open loop: independent callers, so exponential times between them. */
final class ArrivalTimes {

    private final double mMeanNanos;
    private final SplittableRandom mRandom;
    private double mLastNanos;

    /**
     * Begins at zero.
     *
     * @param perSecond the mean rate
     * @param seed the seed of every time
     */
    ArrivalTimes(final int perSecond, final long seed) {
        Arguments.requireAtLeast(perSecond, 1, "perSecond");
        mMeanNanos = (double) TimeUnit.SECONDS.toNanos(1) / perSecond;
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the next arrival, in nanoseconds after the start. */
    long next() {
        mLastNanos += -Math.log(1 - mRandom.nextDouble()) * mMeanNanos;
        return (long) mLastNanos;
    }
}
