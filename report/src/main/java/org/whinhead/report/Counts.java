package org.whinhead.report;

/**
 * Sums over one span of time; adding two gives the sums over both.
 *
 * @param counted requests that count towards availability
 * @param good those that got what they asked for
 * @param notRun those refused with "not run"
 * @param mayHaveRun those that failed with "may have run"
 * @param firstTokens requests with a first token
 * @param firstTokensInTime those within the tier's target
 * @param streams requests with at least two tokens
 * @param streamsInTime those within the tier's target between tokens
 * @param generatedTokens tokens that reached callers
 * @param recomputedTokens tokens computed again
 */
public record Counts(
        long counted,
        long good,
        long notRun,
        long mayHaveRun,
        long firstTokens,
        long firstTokensInTime,
        long streams,
        long streamsInTime,
        long generatedTokens,
        long recomputedTokens) {

    /** No request at all. */
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    private static final double PERCENT = 100;

    /** Returns recomputed tokens in percent of generated ones; 0 when none was generated. */
    public double recomputedPercent() {
        return generatedTokens == 0 ? 0 : PERCENT * recomputedTokens / generatedTokens;
    }

    /**
     * Adds two sums.
     *
     * @param other the sums to add
     * @return the sums over both spans
     */
    public Counts plus(final Counts other) {
        return new Counts(
                counted + other.counted,
                good + other.good,
                notRun + other.notRun,
                mayHaveRun + other.mayHaveRun,
                firstTokens + other.firstTokens,
                firstTokensInTime + other.firstTokensInTime,
                streams + other.streams,
                streamsInTime + other.streamsInTime,
                generatedTokens + other.generatedTokens,
                recomputedTokens + other.recomputedTokens);
    }
}
