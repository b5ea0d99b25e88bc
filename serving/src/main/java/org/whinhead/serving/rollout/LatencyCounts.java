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
final class LatencyCounts {

    /** Buckets: from under 2 ms to over 27 s. */
    static final int BUCKETS = 25;

    private static final double FIRST_MILLIS = 2;
    private static final double GROWTH = 1.5;

    private final long[] mCounts = new long[BUCKETS];

    /** Makes empty counts. */
    LatencyCounts() {}

    /** Makes counts of their list; buckets that are missing are empty. */
    LatencyCounts(final List<Long> counts) {
        for (int bucket = 0; bucket < Math.min(counts.size(), BUCKETS); bucket++) {
            mCounts[bucket] = counts.get(bucket);
        }
    }

    void add(final Duration time) {
        mCounts[bucket(time)]++;
    }

    void addAll(final LatencyCounts other) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            mCounts[bucket] += other.mCounts[bucket];
        }
    }

    /** Takes counts off that were added before. */
    void removeAll(final LatencyCounts other) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            mCounts[bucket] -= other.mCounts[bucket];
        }
    }

    long total() {
        return Arrays.stream(mCounts).sum();
    }

    /** Counts what took longer than the bucket. */
    long above(final int bucket) {
        return Arrays.stream(mCounts, Math.min(bucket + 1, BUCKETS), BUCKETS).sum();
    }

    /** Finds the bucket below which a part of the counts lies. */
    int quantile(final double part) {
        final double wanted = part * total();
        long seen = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            seen += mCounts[bucket];
            if (seen >= wanted && seen > 0) {
                return bucket;
            }
        }
        return BUCKETS - 1;
    }

    /** Returns the upper end of a bucket. */
    static Duration upperEnd(final int bucket) {
        return Duration.ofMillis(Math.round(FIRST_MILLIS * Math.pow(GROWTH, bucket)));
    }

    List<Long> toList() {
        return Arrays.stream(mCounts).boxed().toList();
    }

    private static int bucket(final Duration time) {
        double end = FIRST_MILLIS;
        int bucket = 0;
        while (time.toMillis() >= end && bucket < BUCKETS - 1) {
            end *= GROWTH;
            bucket++;
        }
        return bucket;
    }
}
