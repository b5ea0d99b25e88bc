package org.whinhead.standins.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Remembers which prompt prefixes an engine has computed, in limited memory.
 *
 * <p>A prompt is cut into blocks of {@value #BLOCK_WORDS} words; a block's hash covers the model
 * and all words up to the block's end, so a hit says that the whole prefix is cached.
 */
public final class PrefixCache {

    /** How many words one block has. */
    public static final int BLOCK_WORDS = 16;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

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
     * Hashes the leading whole blocks.
     *
     * @param model the model
     * @param text the text
     * @return a hash for each block, each covering all before it
     */
    public static List<Long> hashes(final String model, final String text) {
        final List<Long> hashes = new ArrayList<>();
        final List<String> words = Arrays.asList(text.strip().split("\\s+"));
        long hash = mix(FNV_OFFSET, model);
        for (int index = 0; index < words.size(); index++) {
            hash = mix(hash, words.get(index));
            if ((index + 1) % BLOCK_WORDS == 0) {
                hashes.add(hash);
            }
        }
        return hashes;
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
        return found * BLOCK_WORDS;
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

    private static long mix(final long start, final String word) {
        long hash = start;
        for (int index = 0; index < word.length(); index++) {
            hash = (hash ^ word.charAt(index)) * FNV_PRIME;
        }
        return (hash ^ ' ') * FNV_PRIME;
    }
}
