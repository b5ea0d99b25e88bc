package org.whinhead.state.claim;

/**
 * The claims of one span of the log's time, in one primitive array with open addressing.
 *
 * <p>A slot is the key's two halves and the attempt that holds it; attempt 0 marks an empty slot. A
 * withdrawn claim keeps its slot, so that searches still pass over it.
 */
final class ClaimGeneration {

    private static final int LONGS_PER_SLOT = 3;
    private static final int INITIAL_SLOTS = 64;
    private static final long EMPTY = ClaimKey.NO_ATTEMPT;
    private static final double MAX_LOAD = 0.8;
    private static final double GROWTH_FACTOR = 1.5;

    private final long mIndex;
    private long[] mSlots = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
    private int mUsedSlots;

    ClaimGeneration(final long span) {
        mIndex = span;
    }

    long index() {
        return mIndex;
    }

    int size() {
        return mUsedSlots;
    }

    long memoryBytes() {
        return (long) mSlots.length * Long.BYTES;
    }

    /** Returns the index of the key's slot, or -1. */
    int findSlot(final ClaimKey key) {
        final int at = findSlotOrEmpty(mSlots, key.high(), key.low());
        return mSlots[at + 2] == EMPTY ? -1 : at;
    }

    long attemptAt(final int at) {
        return mSlots[at + 2];
    }

    void setAttemptAt(final int at, final long attempt) {
        mSlots[at + 2] = attempt;
    }

    void add(final ClaimKey key, final long attempt) {
        if (mUsedSlots + 1 > capacity(mSlots) * MAX_LOAD) {
            grow();
        }
        insert(mSlots, key.high(), key.low(), attempt);
        mUsedSlots++;
    }

    private void grow() {
        final long[] larger = new long[(int) (capacity(mSlots) * GROWTH_FACTOR) * LONGS_PER_SLOT];
        for (int at = 0; at < mSlots.length; at += LONGS_PER_SLOT) {
            if (mSlots[at + 2] != EMPTY) {
                insert(larger, mSlots[at], mSlots[at + 1], mSlots[at + 2]);
            }
        }
        mSlots = larger;
    }

    private static void insert(
            final long[] slots, final long high, final long low, final long attempt) {
        final int at = findSlotOrEmpty(slots, high, low);
        slots[at] = high;
        slots[at + 1] = low;
        slots[at + 2] = attempt;
    }

    private static int findSlotOrEmpty(final long[] slots, final long high, final long low) {
        final int capacity = capacity(slots);
        int index = (int) Long.remainderUnsigned(low, capacity);
        while (slots[index * LONGS_PER_SLOT + 2] != EMPTY
                && (slots[index * LONGS_PER_SLOT] != high
                        || slots[index * LONGS_PER_SLOT + 1] != low)) {
            index = index + 1 == capacity ? 0 : index + 1;
        }
        return index * LONGS_PER_SLOT;
    }

    private static int capacity(final long[] slots) {
        return slots.length / LONGS_PER_SLOT;
    }
}
