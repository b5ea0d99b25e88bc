package org.whinhead.standins.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.whinhead.api.Arguments;

/**
 * Computes the deterministic answer to a prompt: engines generate it and callers compare with it.
 *
 * <p>Each token is a word that depends on the whole prompt and on the token's index, so that a
 * comparison detects a token of another answer, a missing token and a repeated token.
 */
public final class ExpectedAnswer {

    private static final int WORD_SPACE = 1 << 24;
    private static final int RADIX = 36;

    private ExpectedAnswer() {}

    /**
     * Returns the token at an index.
     *
     * @param prompt all messages of the request, joined; without delivered text
     * @param index the token's index, from 0
     * @return the token's text, which ends in a space
     */
    public static String token(final String prompt, final long index) {
        Arguments.requireAtLeast(index, 0, "index");
        final long seed = prompt.hashCode() * 31L + prompt.length();
        final int word = new SplittableRandom(seed * 31L + index).nextInt(WORD_SPACE);
        return Integer.toString(word, RADIX) + " ";
    }

    /**
     * Returns the first tokens of the answer.
     *
     * @param prompt all messages of the request, joined; without delivered text
     * @param count the number of tokens
     * @return the tokens in order
     */
    public static List<String> tokens(final String prompt, final int count) {
        final List<String> tokens = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            tokens.add(token(prompt, index));
        }
        return tokens;
    }
}
