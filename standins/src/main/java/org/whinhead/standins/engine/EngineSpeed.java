package org.whinhead.standins.engine;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * How long an engine's work takes.
 *
 * @param stepBase the time of a decoding step whatever the batch
 * @param stepPerRequest what each running request adds to a step
 * @param prefillTokensPerSecond how many uncached prompt tokens it computes a second
 * @param prefillChunk the most prompt tokens computed in one step
 */
public record EngineSpeed(
        Duration stepBase,
        Duration stepPerRequest,
        double prefillTokensPerSecond,
        int prefillChunk) {

    /** A middling engine: about 50 tokens a second for one request. */
    public static final EngineSpeed TYPICAL =
            new EngineSpeed(Duration.ofMillis(18), Duration.ofMillis(2), 4000, 512);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks every part. */
    public EngineSpeed {
        Arguments.requirePositive(stepBase, "stepBase");
        Arguments.requireAtLeast(stepPerRequest.toNanos(), 0, "stepPerRequest");
        Arguments.requireAtLeast(prefillChunk, 1, "prefillChunk");
        if (!(prefillTokensPerSecond > 0)) {
            throw new IllegalArgumentException("prefillTokensPerSecond is not positive");
        }
    }

    /**
     * Returns the time of one step.
     *
     * @param running requests in the batch
     * @param prefillTokens prompt tokens computed in the step
     * @return its duration
     */
    public Duration step(final int running, final int prefillTokens) {
        final double prefill = prefillTokens / prefillTokensPerSecond * NANOS_PER_SECOND;
        return stepBase.plus(stepPerRequest.multipliedBy(running)).plusNanos((long) prefill);
    }

    /**
     * Returns a faster or slower engine.
     *
     * @param factor how many times as fast
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
