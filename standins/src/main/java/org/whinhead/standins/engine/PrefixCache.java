package org.whinhead.standins.engine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.BiConsumer;
import org.whinhead.api.request.PrefixHashes;

/**
 * Remembers which prompt prefixes an engine has computed, in limited memory.
 *
 * <p>A prompt is cut into blocks of {@value PrefixHashes#WORDS_PER_BLOCK} words; a block's hash
 * covers the model and all words up to the block's end, so a hit says that the whole prefix is
 * cached.
 */
public final class PrefixCache {

    private final int mLimit;
    private final BiConsumer<Boolean, Long> mChanged;
    private final LinkedHashSet<Long> mBlocks = new LinkedHashSet<>();

    /**
     * Makes an empty cache.
     *
     * @param limit how many blocks it holds
     * @param changed gets true and the hash of a stored block, false and that of an evicted one
     */
    public PrefixCache(final int limit, final BiConsumer<Boolean, Long> changed) {
        mLimit = limit;
        mChanged = changed;
    }

    /**
     * Looks up a prompt and marks what it finds as used.
     *
     * @param hashes the prompt's block hashes
     * @return how many leading words are cached
     */
    public int lookUp(final List<Long> hashes) {
        int found = 0;
        while (found < hashes.size() && mBlocks.contains(hashes.get(found))) {
            found++;
        }
        // The oldest goes first: a prefix must outlive what builds on it, so it is touched last.
        for (int index = found - 1; index >= 0; index--) {
            mBlocks.remove(hashes.get(index));
            mBlocks.add(hashes.get(index));
        }
        return found * PrefixHashes.WORDS_PER_BLOCK;
    }

    /** Stores a computed prompt, and evicts the least recently used blocks beyond the limit. */
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

    /** Forgets everything, without a word. */
    public void clear() {
        mBlocks.clear();
    }

    /** Returns how many blocks it holds. */
    public int size() {
        return mBlocks.size();
    }
}
