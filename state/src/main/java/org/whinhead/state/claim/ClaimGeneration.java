package org.whinhead.state.claim;

/**
 * The claims of one span of the log's time, in one primitive array with open addressing.
 *
 * <p>A slot is the key's two halves and the attempt that holds it; attempt 0 marks an empty slot. A
 * withdrawn claim keeps its slot, so that searches still pass over it.
 */
final class ClaimGeneration {

    private static final int SLOT = 3;
    private static final int FIRST_SLOTS = 64;
    private static final long EMPTY = ClaimKey.NO_ATTEMPT;
    private static final double MAX_LOAD = 0.8;
    private static final double GROWTH = 1.5;

    private final long mSpan;
    private long[] mSlots = new long[FIRST_SLOTS * SLOT];
    private int mUsed;

    ClaimGeneration(final long span) {
        mSpan = span;
    }

    long span() {
        return mSpan;
    }

    int size() {
        return mUsed;
    }

    long bytes() {
        return (long) mSlots.length * Long.BYTES;
    }

    /** Returns the index of the key's slot, or -1. */
    int find(final ClaimKey key) {
        final int at = slot(mSlots, key.high(), key.low());
        return mSlots[at + 2] == EMPTY ? -1 : at;
    }

    long attempt(final int at) {
        return mSlots[at + 2];
    }

    void setAttempt(final int at, final long attempt) {
        mSlots[at + 2] = attempt;
    }

    void add(final ClaimKey key, final long attempt) {
        if (mUsed + 1 > capacity(mSlots) * MAX_LOAD) {
            grow();
        }
        put(mSlots, key.high(), key.low(), attempt);
        mUsed++;
    }

    private void grow() {
        final long[] larger = new long[(int) (capacity(mSlots) * GROWTH) * SLOT];
        for (int at = 0; at < mSlots.length; at += SLOT) {
            if (mSlots[at + 2] != EMPTY) {
                put(larger, mSlots[at], mSlots[at + 1], mSlots[at + 2]);
            }
        }
        mSlots = larger;
    }

    private static void put(
            final long[] slots, final long high, final long low, final long attempt) {
        final int at = slot(slots, high, low);
        slots[at] = high;
        slots[at + 1] = low;
        slots[at + 2] = attempt;
    }

    private static int slot(final long[] slots, final long high, final long low) {
        final int capacity = capacity(slots);
        int index = (int) Long.remainderUnsigned(low, capacity);
        while (slots[index * SLOT + 2] != EMPTY
                && (slots[index * SLOT] != high || slots[index * SLOT + 1] != low)) {
            index = index + 1 == capacity ? 0 : index + 1;
        }
        return index * SLOT;
    }

    private static int capacity(final long[] slots) {
        return slots.length / SLOT;
    }
}
