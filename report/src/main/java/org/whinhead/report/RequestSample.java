package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * The measurements of one ended request.
 *
 * @param key the customer and tier
 * @param outcome the outcome for the caller
 * @param firstToken time from arrival to the first token at the caller, if there was one
 * @param betweenTokens mean time between tokens, if there were at least two
 * @param generatedTokens the number of tokens that reached the caller
 * @param recomputedTokens the number of prompt and answer tokens computed again
 * @param endedAt when the request ended
 */
public record RequestSample(
        SeriesKey key,
        Outcome outcome,
        Optional<Duration> firstToken,
        Optional<Duration> betweenTokens,
        long generatedTokens,
        long recomputedTokens,
        Instant endedAt) {

    /** Checks the components. */
    public RequestSample {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(firstToken, "firstToken");
        Objects.requireNonNull(betweenTokens, "betweenTokens");
        Arguments.requireAtLeast(generatedTokens, 0, "generatedTokens");
        Arguments.requireAtLeast(recomputedTokens, 0, "recomputedTokens");
        Objects.requireNonNull(endedAt, "at");
    }
}
