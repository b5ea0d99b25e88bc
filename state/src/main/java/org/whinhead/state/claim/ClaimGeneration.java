package org.whinhead.state.claim;

/**
 * The claims of one interval of log time, in a hash table with open addressing and linear probing
 * over one primitive array.
 *
 * <p>A slot consists of the two halves of the key and the attempt that holds the key; attempt 0
 * marks an empty slot. A withdrawn claim keeps its slot, so that probing continues past it.
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

    ClaimGeneration(final long index) {
        mIndex = index;
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

    /** Returns the array index of the key's slot, or -1 if the key has no slot. */
    int findSlot(final ClaimKey key) {
        final int slot = findSlotOrEmpty(mSlots, key.high(), key.low());
        return mSlots[slot + 2] == EMPTY ? -1 : slot;
    }

    long attemptAt(final int slot) {
        return mSlots[slot + 2];
    }

    void setAttemptAt(final int slot, final long attempt) {
        mSlots[slot + 2] = attempt;
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
        for (int slot = 0; slot < mSlots.length; slot += LONGS_PER_SLOT) {
            if (mSlots[slot + 2] != EMPTY) {
                insert(larger, mSlots[slot], mSlots[slot + 1], mSlots[slot + 2]);
            }
        }
        mSlots = larger;
    }

    private static void insert(
            final long[] slots, final long high, final long low, final long attempt) {
        final int slot = findSlotOrEmpty(slots, high, low);
        slots[slot] = high;
        slots[slot + 1] = low;
        slots[slot + 2] = attempt;
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
