package org.whinhead.standins.load.result;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.Histogram;

/** An immutable histogram of latencies, in microseconds. */
public final class LatencyDistribution {

    private final Histogram mMicros;

    /**
     * Creates a distribution from a copy of a histogram.
     *
     * @param micros times in microseconds
     */
    public LatencyDistribution(final AbstractHistogram micros) {
        mMicros = new Histogram(micros);
        mMicros.add(micros);
    }

    /**
     * Returns the times recorded after an earlier copy of the same histogram.
     *
     * @param earlier the earlier copy
     * @return the difference
     */
    public LatencyDistribution since(final LatencyDistribution earlier) {
        final Histogram difference = mMicros.copy();
        difference.subtract(earlier.mMicros);
        return new LatencyDistribution(difference);
    }

    /** Returns the number of recorded times. */
    public long count() {
        return mMicros.getTotalCount();
    }

    /**
     * Returns a percentile of the recorded times.
     *
     * @param percent the percentile from 0 to 100, for example 95
     * @return the time; zero if no time was recorded
     */
    public Duration percentile(final double percent) {
        return Duration.of(
                mMicros.getValueAtPercentile(percent), TimeUnit.MICROSECONDS.toChronoUnit());
    }

    /** Returns the longest time; zero if no time was recorded. */
    public Duration max() {
        return Duration.of(mMicros.getMaxValue(), TimeUnit.MICROSECONDS.toChronoUnit());
    }

    /**
     * Returns the share of times that do not exceed a bound.
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

    /** Returns a copy of the histogram, in microseconds, for merging with others. */
    public Histogram histogram() {
        return mMicros.copy();
    }
}
