package org.whinhead.bench.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** An engine's prefix cache: a bounded number of blocks, the longest unused goes first. */
final class SimulatedPrefixCache {

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(64, LOAD_FACTOR, true);
    private final int mCapacity;
    private final LongConsumer mStored;
    private final LongConsumer mEvicted;

    SimulatedPrefixCache(
            final int capacity, final LongConsumer stored, final LongConsumer evicted) {
        mCapacity = capacity;
        mStored = stored;
        mEvicted = evicted;
    }

    /** Returns how many leading blocks of a prompt are held, and marks them as used. */
    int lookup(final List<Long> prefixes) {
        int held = 0;
        while (held < prefixes.size() && mBlocks.get(prefixes.get(held)) != null) {
            held++;
        }
        return held;
    }

    void store(final List<Long> prefixes) {
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            if (mBlocks.put(prefixes.get(i), Boolean.TRUE) == null) {
                mStored.accept(prefixes.get(i));
            }
        }
        final Iterator<Long> oldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mCapacity) {
            final long evicted = oldest.next();
            oldest.remove();
            mEvicted.accept(evicted);
        }
    }
}
