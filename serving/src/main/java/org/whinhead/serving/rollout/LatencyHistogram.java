package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * A histogram of answers by latency whose bucket bounds grow by half.
 *
 * <p>Three times the latency lies at least two buckets higher, which suffices to compare two
 * versions, and a route takes only a few bytes of a report.
 */
final class LatencyHistogram {

    /** The number of buckets, from under 2 ms to over 27 s. */
    static final int BUCKET_COUNT = 25;

    private static final double FIRST_BOUND_MILLIS = 2;
    private static final double GROWTH = 1.5;

    private final long[] mCounts = new long[BUCKET_COUNT];

    /** Creates an empty histogram. */
    LatencyHistogram() {}

    /** Creates a histogram from a list of counts; missing buckets are empty. */
    LatencyHistogram(final List<Long> counts) {
        for (int bucket = 0; bucket < Math.min(counts.size(), BUCKET_COUNT); bucket++) {
            mCounts[bucket] = counts.get(bucket);
        }
    }

    void add(final Duration latency) {
        mCounts[bucket(latency)]++;
    }

    void addAll(final LatencyHistogram other) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            mCounts[bucket] += other.mCounts[bucket];
        }
    }

    /** Subtracts counts that were added before. */
    void subtractAll(final LatencyHistogram other) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            mCounts[bucket] -= other.mCounts[bucket];
        }
    }

    long total() {
        return Arrays.stream(mCounts).sum();
    }

    /** Returns the number of answers that lie in buckets above the given one. */
    long countAbove(final int bucket) {
        return Arrays.stream(mCounts, Math.min(bucket + 1, BUCKET_COUNT), BUCKET_COUNT).sum();
    }

    /** Returns the bucket that contains the given quantile, 0 to 1. */
    int quantileBucket(final double quantile) {
        final double targetCount = quantile * total();
        long seen = 0;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            seen += mCounts[bucket];
            if (seen >= targetCount && seen > 0) {
                return bucket;
            }
        }
        return BUCKET_COUNT - 1;
    }

    /** Returns the upper bound of a bucket. */
    static Duration upperBound(final int bucket) {
        return Duration.ofMillis(Math.round(FIRST_BOUND_MILLIS * Math.pow(GROWTH, bucket)));
    }

    List<Long> toList() {
        return Arrays.stream(mCounts).boxed().toList();
    }

    private static int bucket(final Duration latency) {
        double bound = FIRST_BOUND_MILLIS;
        int bucket = 0;
        while (latency.toMillis() >= bound && bucket < BUCKET_COUNT - 1) {
            bound *= GROWTH;
            bucket++;
        }
        return bucket;
    }
}
