package org.whinhead.bench.engine;

/**
 * Capacity and speed of a simulated engine.
 *
 * @param slots maximum number of sequences in the batch
 * @param cacheBlocks maximum number of blocks in the prefix cache
 * @param blockTokens number of prompt tokens in a block
 * @param stepMicros fixed duration of a step, in microseconds
 * @param decodeMicros microseconds that each decoded token adds to a step
 * @param prefillMicros microseconds that each computed prompt token adds to a step
 * @param prefillTokens maximum number of prompt tokens computed in a step
 */
public record EngineSettings(
        int slots,
        int cacheBlocks,
        int blockTokens,
        long stepMicros,
        long decodeMicros,
        long prefillMicros,
        int prefillTokens) {

    /** A mid-size engine: about 30 tokens a second for each of 16 sequences. */
    public static final EngineSettings DEFAULT =
            new EngineSettings(16, 2000, 64, 20_000, 500, 150, 512);
}
