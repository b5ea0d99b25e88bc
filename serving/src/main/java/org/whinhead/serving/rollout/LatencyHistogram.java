package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * Counts of answers by time, in buckets that each reach half as far again as the one before.
 *
 * <p>Three times as long is told from once as long by at least two buckets, which is all that the
 * comparison of two versions needs; a whole route fits into a few bytes of a report.
 */
final class LatencyHistogram {

    /** Buckets: from under 2 ms to over 27 s. */
    static final int BUCKET_COUNT = 25;

    private static final double FIRST_BOUND_MILLIS = 2;
    private static final double GROWTH = 1.5;

    private final long[] mCounts = new long[BUCKET_COUNT];

    /** Makes empty counts. */
    LatencyHistogram() {}

    /** Makes counts of their list; buckets that are missing are empty. */
    LatencyHistogram(final List<Long> counts) {
        for (int bucket = 0; bucket < Math.min(counts.size(), BUCKET_COUNT); bucket++) {
            mCounts[bucket] = counts.get(bucket);
        }
    }

    void add(final Duration time) {
        mCounts[bucket(time)]++;
    }

    void addAll(final LatencyHistogram other) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            mCounts[bucket] += other.mCounts[bucket];
        }
    }

    /** Takes counts off that were added before. */
    void subtractAll(final LatencyHistogram other) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            mCounts[bucket] -= other.mCounts[bucket];
        }
    }

    long total() {
        return Arrays.stream(mCounts).sum();
    }

    /** Counts what took longer than the bucket. */
    long countAbove(final int bucket) {
        return Arrays.stream(mCounts, Math.min(bucket + 1, BUCKET_COUNT), BUCKET_COUNT).sum();
    }

    /** Finds the bucket below which a part of the counts lies. */
    int quantileBucket(final double part) {
        final double wanted = part * total();
        long seen = 0;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            seen += mCounts[bucket];
            if (seen >= wanted && seen > 0) {
                return bucket;
            }
        }
        return BUCKET_COUNT - 1;
    }

    /** Returns the upper end of a bucket. */
    static Duration upperBound(final int bucket) {
        return Duration.ofMillis(Math.round(FIRST_BOUND_MILLIS * Math.pow(GROWTH, bucket)));
    }

    List<Long> toList() {
        return Arrays.stream(mCounts).boxed().toList();
    }

    private static int bucket(final Duration time) {
        double end = FIRST_BOUND_MILLIS;
        int bucket = 0;
        while (time.toMillis() >= end && bucket < BUCKET_COUNT - 1) {
            end *= GROWTH;
            bucket++;
        }
        return bucket;
    }
}
