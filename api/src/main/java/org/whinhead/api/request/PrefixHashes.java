package org.whinhead.api.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/**
 * Chained hashes of a prompt's leading blocks. Each hash covers its own block and all blocks before
 * it, so two prompts share a hash only if they share the whole prefix. Engines publish the same
 * hashes for the blocks in their cache.
 */
public final class PrefixHashes {

    /** Number of words in a block; a shorter block at the end has no hash. */
    public static final int WORDS_PER_BLOCK = 16;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final char WORD_SEPARATOR = ' ';

    private PrefixHashes() {}

    /**
     * Hashes the whole blocks of a prompt.
     *
     * @param model the name of the model in the engines; every hash covers it
     * @param prompt the contents of all messages, joined by line feeds
     * @return one hash for each whole block, in order
     */
    public static List<Long> of(final String model, final String prompt) {
        Objects.requireNonNull(prompt, "prompt");
        final List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET_BASIS;
        for (int index = 0; index < model.length(); index++) {
            hash = addToHash(hash, model.charAt(index));
        }
        hash = addToHash(hash, WORD_SEPARATOR);
        int wordCount = 0;
        boolean isInWord = false;
        for (int index = 0; index <= prompt.length(); index++) {
            final boolean isSpace =
                    index == prompt.length() || Character.isWhitespace(prompt.charAt(index));
            if (!isSpace) {
                hash = addToHash(hash, prompt.charAt(index));
            } else if (isInWord) {
                hash = addToHash(hash, WORD_SEPARATOR);
                wordCount++;
                if (wordCount % WORDS_PER_BLOCK == 0) {
                    hashes.add(hash);
                }
            }
            isInWord = !isSpace;
        }
        return Collections.unmodifiableList(hashes);
    }

    /**
     * Counts the words of a prompt, an estimate of its tokens where no engine has counted them.
     *
     * @param prompt the contents of all messages, joined
     * @return the number of words
     */
    public static int countWords(final String prompt) {
        int wordCount = 0;
        boolean isInWord = false;
        for (int index = 0; index < prompt.length(); index++) {
            final boolean isSpace = Character.isWhitespace(prompt.charAt(index));
            if (!isSpace && !isInWord) {
                wordCount++;
            }
            isInWord = !isSpace;
        }
        return wordCount;
    }

    private static long addToHash(final long hash, final char next) {
        return (hash ^ next) * FNV_PRIME;
    }
}
