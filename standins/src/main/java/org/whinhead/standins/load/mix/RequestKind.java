package org.whinhead.standins.load.mix;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A kind of request of a workload, with its weight and the sizes of its prompts and answers.
 *
 * @param name the kind's name in results
 * @param style the type of target and answer
 * @param target the model reference, or the plain service and path as {@code service/path}
 * @param weight its weight among the kinds; its share of the requests is the weight divided by the
 *     sum of all weights
 * @param sharedPrefixes the number of distinct prompt prefixes of each customer; 0 for none
 * @param prefixWords the number of words of each shared prefix
 * @param promptWords the number of words after the prefix
 * @param minTokens the shortest requested answer, in tokens
 * @param maxTokens the longest requested answer, in tokens
 */
public record RequestKind(
        String name,
        CallStyle style,
        String target,
        int weight,
        int sharedPrefixes,
        int prefixWords,
        int promptWords,
        int minTokens,
        int maxTokens) {

    /** Checks the values. */
    public RequestKind {
        Arguments.requireText(name, "name");
        Objects.requireNonNull(style, "style");
        Arguments.requireText(target, "target");
        Arguments.requireAtLeast(weight, 1, "weight");
        Arguments.requireAtLeast(sharedPrefixes, 0, "sharedPrefixes");
        Arguments.requireAtLeast(prefixWords, 0, "prefixWords");
        Arguments.requireAtLeast(promptWords, 1, "promptWords");
        Arguments.requireAtLeast(minTokens, style.isPlainService() ? 0 : 1, "minTokens");
        Arguments.requireAtLeast(maxTokens, minTokens, "maxTokens");
    }

    /**
     * Creates a builder.
     *
     * @param name the kind's name in results
     * @param style the type of target and answer
     * @return the builder
     */
    public static Builder builder(final String name, final CallStyle style) {
        return new Builder(name, style);
    }

    /** Builds a {@link RequestKind}. */
    public static final class Builder {
        private static final int DEFAULT_PROMPT_WORDS = 12;

        private final String mName;
        private final CallStyle mStyle;
        private String mTarget;
        private int mWeight = 1;
        private int mSharedPrefixes;
        private int mPrefixWords;
        private int mPromptWords = DEFAULT_PROMPT_WORDS;
        private int mMinTokens;
        private int mMaxTokens;

        private Builder(final String name, final CallStyle style) {
            mName = name;
            mStyle = style;
        }

        /** Sets the model reference or {@code service/path}; required. */
        public Builder target(final String target) {
            mTarget = target;
            return this;
        }

        /** Sets the weight among the kinds; 1 by default. */
        public Builder weight(final int weight) {
            mWeight = weight;
            return this;
        }

        /** Sets the number of shared prefixes and the words of each; none by default. */
        public Builder prefixes(final int count, final int words) {
            mSharedPrefixes = count;
            mPrefixWords = words;
            return this;
        }

        /** Sets the number of words after the prefix; 12 by default. */
        public Builder promptWords(final int promptWords) {
            mPromptWords = promptWords;
            return this;
        }

        /**
         * Sets the shortest and longest requested answer in tokens; 0 by default, for plain
         * services.
         */
        public Builder tokens(final int min, final int max) {
            mMinTokens = min;
            mMaxTokens = max;
            return this;
        }

        /** Builds the kind. */
        public RequestKind build() {
            return new RequestKind(
                    mName,
                    mStyle,
                    mTarget,
                    mWeight,
                    mSharedPrefixes,
                    mPrefixWords,
                    mPromptWords,
                    mMinTokens,
                    mMaxTokens);
        }
    }
}
