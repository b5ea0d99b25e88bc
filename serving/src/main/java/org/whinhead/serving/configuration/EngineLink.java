package org.whinhead.serving.configuration;

import org.whinhead.api.Arguments;

/**
 * Network link over which model engines copy cached prompts from each other.
 *
 * @param bytesPerToken the size of one cached token, in bytes
 * @param megabitsPerSecond the bandwidth of an engine's link
 */
public record EngineLink(long bytesPerToken, double megabitsPerSecond) {

    private static final int BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLISECOND = 1_000;

    /** Checks the components. */
    public EngineLink {
        Arguments.requireAtLeast(bytesPerToken, 1, "bytesPerToken");
        if (!(megabitsPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "megabitsPerSecond must be positive: " + megabitsPerSecond);
        }
    }

    /**
     * Returns the rate of a copy.
     *
     * @return the rate, in tokens per millisecond, on an otherwise idle link
     */
    public double tokensPerMillisecond() {
        return megabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND / (bytesPerToken * BITS_PER_BYTE);
    }
}
