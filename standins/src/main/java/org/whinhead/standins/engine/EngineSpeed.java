package org.whinhead.standins.engine;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The speed of an engine's decoding and prefill.
 *
 * @param stepBase the duration of a decoding step, without the share of its requests
 * @param stepPerRequest the time that each running request adds to a step
 * @param prefillTokensPerSecond the rate of computed, uncached prompt tokens
 * @param prefillChunk the maximum number of prompt tokens computed in one step
 */
public record EngineSpeed(
        Duration stepBase,
        Duration stepPerRequest,
        double prefillTokensPerSecond,
        int prefillChunk) {

    /** A typical engine: about 50 tokens a second for one request. */
    public static final EngineSpeed TYPICAL =
            new EngineSpeed(Duration.ofMillis(18), Duration.ofMillis(2), 4000, 512);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the components. */
    public EngineSpeed {
        Arguments.requirePositive(stepBase, "stepBase");
        Arguments.requireAtLeast(stepPerRequest.toNanos(), 0, "stepPerRequest");
        Arguments.requireAtLeast(prefillChunk, 1, "prefillChunk");
        if (!(prefillTokensPerSecond > 0)) {
            throw new IllegalArgumentException("prefillTokensPerSecond is not positive");
        }
    }

    /**
     * Returns the duration of one step.
     *
     * @param running the number of requests in the batch
     * @param prefillTokens the number of prompt tokens computed in the step
     * @return the step's duration
     */
    public Duration step(final int running, final int prefillTokens) {
        final double prefill = prefillTokens / prefillTokensPerSecond * NANOS_PER_SECOND;
        return stepBase.plus(stepPerRequest.multipliedBy(running)).plusNanos((long) prefill);
    }

    /**
     * Returns this speed multiplied by a factor.
     *
     * @param factor the multiplier; above 1 is faster
     * @return the scaled speed
     */
    public EngineSpeed times(final double factor) {
        return new EngineSpeed(
                Duration.ofNanos(Math.max(1, (long) (stepBase.toNanos() / factor))),
                Duration.ofNanos((long) (stepPerRequest.toNanos() / factor)),
                prefillTokensPerSecond * factor,
                prefillChunk);
    }
}
