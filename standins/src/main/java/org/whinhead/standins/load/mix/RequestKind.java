package org.whinhead.standins.load.mix;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One kind of request of a deployment.
 *
 * @param name the kind's name in results
 * @param style how it is sent and answered
 * @param target the model reference, or the plain service and path as {@code service/path}
 * @param weight its share of the requests against the other kinds
 * @param sharedPrefixes how many different prefixes its prompts begin with; 0 for none
 * @param prefixWords words in each shared prefix
 * @param promptWords words after the prefix
 * @param minTokens the shortest answer asked for
 * @param maxTokens the longest answer asked for
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

    /** Checks every part. */
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
     * Starts a builder.
     *
     * @param name the kind's name in results
     * @param style how it is sent and answered
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

        /** Sets the model reference or the service and path; required. */
        public Builder target(final String target) {
            mTarget = target;
            return this;
        }

        /** Sets the share of the requests; 1 by default. */
        public Builder weight(final int weight) {
            mWeight = weight;
            return this;
        }

        /** Sets how many prefixes are shared and how many words each has; none by default. */
        public Builder prefixes(final int count, final int words) {
            mSharedPrefixes = count;
            mPrefixWords = words;
            return this;
        }

        /** Sets the words after the prefix; 12 by default. */
        public Builder promptWords(final int promptWords) {
            mPromptWords = promptWords;
            return this;
        }

        /** Sets the shortest and the longest answer; none for a plain service. */
        public Builder tokens(final int least, final int most) {
            mMinTokens = least;
            mMaxTokens = most;
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
