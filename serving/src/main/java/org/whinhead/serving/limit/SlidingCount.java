package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;

/** Counts events of the last while, in slots of a tenth of the window. */
final class SlidingCount {

    private static final int SLOTS = 10;

    private final long mSlotMillis;
    private final long[] mCounts = new long[SLOTS + 1];
    private long mNewestSlot = Long.MIN_VALUE;

    SlidingCount(final Duration window) {
        mSlotMillis = Math.max(window.toMillis() / SLOTS, 1);
    }

    void add(final Instant now) {
        mCounts[index(advance(now))]++;
    }

    long total(final Instant now) {
        advance(now);
        long total = 0;
        for (final long count : mCounts) {
            total += count;
        }
        return total;
    }

    private long advance(final Instant now) {
        final long slot = Math.floorDiv(now.toEpochMilli(), mSlotMillis);
        if (mNewestSlot == Long.MIN_VALUE || slot - mNewestSlot > mCounts.length) {
            java.util.Arrays.fill(mCounts, 0);
            mNewestSlot = slot;
        }
        while (mNewestSlot < slot) {
            mNewestSlot++;
            mCounts[index(mNewestSlot)] = 0;
        }
        return mNewestSlot;
    }

    private int index(final long slot) {
        return (int) Math.floorMod(slot, mCounts.length);
    }
}
