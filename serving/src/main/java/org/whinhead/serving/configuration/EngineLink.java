package org.whinhead.serving.configuration;

import org.whinhead.api.Arguments;

/**
 * How fast model engines copy cached prompts from each other.
 *
 * @param bytesPerToken what one token takes in memory
 * @param megabitsPerSecond the speed of an engine's link
 */
public record EngineLink(long bytesPerToken, double megabitsPerSecond) {

    private static final int BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLISECOND = 1_000;

    /** Checks the parts. */
    public EngineLink {
        Arguments.requireAtLeast(bytesPerToken, 1, "bytesPerToken");
        if (!(megabitsPerSecond > 0)) {
            throw new IllegalArgumentException("no speed of a link: " + megabitsPerSecond);
        }
    }

    /**
     * Works out the speed of a copy.
     *
     * @return tokens in a millisecond, on a link that does nothing else
     */
    public double tokensPerMillisecond() {
        return megabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND / (bytesPerToken * BITS_PER_BYTE);
    }
}
