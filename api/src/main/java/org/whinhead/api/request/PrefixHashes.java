package org.whinhead.api.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/**
 * Hashes of a prompt's leading blocks, chained: each covers its own block and all blocks before it,
 * so that two prompts share a hash only if they share the whole prefix. Engines publish the same
 * hashes for the blocks that they have cached.
 */
public final class PrefixHashes {

    /** How many words make a block; a last, shorter block has no hash. */
    public static final int WORDS_PER_BLOCK = 16;

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final char WORD_END = ' ';

    private PrefixHashes() {}

    /**
     * Hashes a prompt.
     *
     * @param model the model as engines name it, which every hash covers
     * @param prompt the contents of all messages, joined by line feeds
     * @return one hash for each whole block, in order
     */
    public static List<Long> of(final String model, final String prompt) {
        Objects.requireNonNull(prompt, "prompt");
        final List<Long> hashes = new ArrayList<>();
        long hash = OFFSET_BASIS;
        for (int index = 0; index < model.length(); index++) {
            hash = step(hash, model.charAt(index));
        }
        hash = step(hash, WORD_END);
        int words = 0;
        boolean inWord = false;
        for (int index = 0; index <= prompt.length(); index++) {
            final boolean blank =
                    index == prompt.length() || Character.isWhitespace(prompt.charAt(index));
            if (!blank) {
                hash = step(hash, prompt.charAt(index));
            } else if (inWord) {
                hash = step(hash, WORD_END);
                words++;
                if (words % WORDS_PER_BLOCK == 0) {
                    hashes.add(hash);
                }
            }
            inWord = !blank;
        }
        return Collections.unmodifiableList(hashes);
    }

    /**
     * Counts a prompt's words, which stand for its tokens where no engine has counted them.
     *
     * @param prompt the contents of all messages, joined
     * @return the number of words
     */
    public static int countWords(final String prompt) {
        int words = 0;
        boolean inWord = false;
        for (int index = 0; index < prompt.length(); index++) {
            final boolean blank = Character.isWhitespace(prompt.charAt(index));
            if (!blank && !inWord) {
                words++;
            }
            inWord = !blank;
        }
        return words;
    }

    private static long step(final long hash, final char next) {
        return (hash ^ next) * PRIME;
    }
}
