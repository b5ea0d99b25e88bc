package org.whinhead.bench.engine;

/**
 * How fast an engine is.
 *
 * @param slots sequences in a batch
 * @param cacheBlocks blocks that the prefix cache holds
 * @param blockTokens prompt tokens in a block
 * @param stepMicros a step without any work
 * @param decodeMicros each sequence that gets a token in a step
 * @param prefillMicros each prompt token that is computed in a step
 * @param prefillTokens the most prompt tokens in a step
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
