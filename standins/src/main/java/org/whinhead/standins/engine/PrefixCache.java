package org.whinhead.standins.engine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.BiConsumer;
import org.whinhead.api.request.PrefixHashes;

/**
 * Least recently used cache of the prompt prefixes that an engine has computed.
 *
 * <p>A prompt is split into blocks of {@value PrefixHashes#WORDS_PER_BLOCK} words; a block's hash
 * covers the model and all words up to the block's end, so a hit means that the whole prefix is
 * cached.
 */
public final class PrefixCache {

    private final int mLimit;
    private final BiConsumer<Boolean, Long> mChanged;
    private final LinkedHashSet<Long> mBlocks = new LinkedHashSet<>();

    /**
     * Creates an empty cache.
     *
     * @param limit the capacity in blocks
     * @param changed receives true and a stored block's hash, or false and an evicted block's
     */
    public PrefixCache(final int limit, final BiConsumer<Boolean, Long> changed) {
        mLimit = limit;
        mChanged = changed;
    }

    /**
     * Looks up a prompt and marks the found blocks as recently used.
     *
     * @param hashes the prompt's block hashes
     * @return the number of leading words that are cached
     */
    public int lookUp(final List<Long> hashes) {
        int found = 0;
        while (found < hashes.size() && mBlocks.contains(hashes.get(found))) {
            found++;
        }
        // A prefix must be evicted after the blocks that extend it, so it is marked last.
        for (int index = found - 1; index >= 0; index--) {
            mBlocks.remove(hashes.get(index));
            mBlocks.add(hashes.get(index));
        }
        return found * PrefixHashes.WORDS_PER_BLOCK;
    }

    /** Stores a computed prompt and evicts the least recently used blocks beyond the limit. */
    public void store(final List<Long> hashes) {
        for (int index = Math.min(hashes.size(), mLimit) - 1; index >= 0; index--) {
            final Long hash = hashes.get(index);
            final boolean known = mBlocks.remove(hash);
            mBlocks.add(hash);
            if (!known) {
                mChanged.accept(true, hash);
            }
        }
        while (mBlocks.size() > mLimit) {
            final Long oldest = mBlocks.iterator().next();
            mBlocks.remove(oldest);
            mChanged.accept(false, oldest);
        }
    }

    /** Removes all blocks without notifying the listener. */
    public void clear() {
        mBlocks.clear();
    }

    /** Returns the number of blocks in the cache. */
    public int size() {
        return mBlocks.size();
    }
}
