package org.whinhead.bench.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** Prefix cache of an engine; evicts the least recently used blocks above its capacity. */
final class SimulatedPrefixCache {

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(64, LOAD_FACTOR, true);
    private final int mCapacity;
    private final LongConsumer mStoredListener;
    private final LongConsumer mEvictedListener;

    SimulatedPrefixCache(
            final int capacity, final LongConsumer stored, final LongConsumer evicted) {
        mCapacity = capacity;
        mStoredListener = stored;
        mEvictedListener = evicted;
    }

    /** Returns the number of leading blocks of a prompt in the cache, and marks them as used. */
    int lookup(final List<Long> prefixes) {
        int cached = 0;
        while (cached < prefixes.size() && mBlocks.get(prefixes.get(cached)) != null) {
            cached++;
        }
        return cached;
    }

    void store(final List<Long> prefixes) {
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            if (mBlocks.put(prefixes.get(i), Boolean.TRUE) == null) {
                mStoredListener.accept(prefixes.get(i));
            }
        }
        final Iterator<Long> oldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mCapacity) {
            final long evicted = oldest.next();
            oldest.remove();
            mEvictedListener.accept(evicted);
        }
    }
}
