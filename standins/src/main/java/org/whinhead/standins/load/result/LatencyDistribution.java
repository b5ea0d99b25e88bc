package org.whinhead.standins.load.result;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.Histogram;

/** An unchanging histogram of times, in microseconds. */
public final class LatencyDistribution {

    private final Histogram mMicros;

    /**
     * Copies a histogram.
     *
     * @param micros times in microseconds
     */
    public LatencyDistribution(final AbstractHistogram micros) {
        mMicros = new Histogram(micros);
        mMicros.add(micros);
    }

    /**
     * Returns what was recorded after an earlier copy of the same histogram was made.
     *
     * @param earlier the earlier copy
     * @return the difference
     */
    public LatencyDistribution since(final LatencyDistribution earlier) {
        final Histogram difference = mMicros.copy();
        difference.subtract(earlier.mMicros);
        return new LatencyDistribution(difference);
    }

    /** Returns how many times were recorded. */
    public long count() {
        return mMicros.getTotalCount();
    }

    /**
     * Returns the time that a share of all times does not exceed.
     *
     * @param percent the share, for example 95
     * @return the time; zero if none was recorded
     */
    public Duration percentile(final double percent) {
        return Duration.of(
                mMicros.getValueAtPercentile(percent), TimeUnit.MICROSECONDS.toChronoUnit());
    }

    /** Returns the longest time; zero if none was recorded. */
    public Duration max() {
        return Duration.of(mMicros.getMaxValue(), TimeUnit.MICROSECONDS.toChronoUnit());
    }

    /**
     * Returns the share of times that are within a bound.
     *
     * @param bound the bound
     * @return the share from 0 to 1; 1 if no time was recorded
     */
    public double shareWithin(final Duration bound) {
        if (count() == 0) {
            return 1;
        }
        final long micros = TimeUnit.NANOSECONDS.toMicros(bound.toNanos());
        return (double) mMicros.getCountBetweenValues(0, micros) / count();
    }

    /** Returns a copy of the histogram, in microseconds, to be merged with others. */
    public Histogram histogram() {
        return mMicros.copy();
    }
}
