package org.whinhead.report;

/**
 * Sums of requests and tokens over one span of time.
 *
 * @param counted the number of requests that count towards availability
 * @param good the number of counted requests that completed
 * @param notRun the number of requests refused with "not run"
 * @param mayHaveRun the number of requests that failed with "may have run"
 * @param firstTokens the number of requests with a first token
 * @param firstTokensInTime the number of first tokens within the tier's target
 * @param streams the number of requests with at least two tokens
 * @param streamsInTime the number of streams within the tier's target between tokens
 * @param generatedTokens the number of tokens that reached callers
 * @param recomputedTokens the number of tokens computed again
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

    /** The sums of an empty span. */
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    private static final double PERCENT = 100;

    /** Returns recomputed tokens in percent of generated tokens; 0 if none were generated. */
    public double recomputedPercent() {
        return generatedTokens == 0 ? 0 : PERCENT * recomputedTokens / generatedTokens;
    }

    /**
     * Returns the sums of both spans.
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
