package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/** Sliding-window sum of amounts, in slots of a twentieth of the window. */
public final class SlidingWindowSum {

    private static final int SLOTS = 20;

    private final long mSlotMillis;
    private final double[] mSums = new double[SLOTS + 1];
    private long mNewestSlot = Long.MIN_VALUE;

    /**
     * Creates a sum without amounts.
     *
     * @param window the time for which an amount counts
     */
    public SlidingWindowSum(final Duration window) {
        mSlotMillis = Math.max(window.toMillis() / SLOTS, 1);
    }

    /**
     * Adds an amount.
     *
     * @param now the current time
     * @param amount the amount
     */
    public void add(final Instant now, final double amount) {
        advance(now);
        mSums[index(mNewestSlot)] += amount;
    }

    /**
     * Returns the sum.
     *
     * @param now the current time
     * @return the sum of the amounts within the window
     */
    public double total(final Instant now) {
        advance(now);
        return Arrays.stream(mSums).sum();
    }

    private void advance(final Instant now) {
        final long slot = Math.floorDiv(now.toEpochMilli(), mSlotMillis);
        if (mNewestSlot == Long.MIN_VALUE || slot - mNewestSlot > mSums.length) {
            Arrays.fill(mSums, 0);
            mNewestSlot = slot;
        }
        while (mNewestSlot < slot) {
            mNewestSlot++;
            mSums[index(mNewestSlot)] = 0;
        }
    }

    private int index(final long slot) {
        return (int) Math.floorMod(slot, (long) mSums.length);
    }
}
