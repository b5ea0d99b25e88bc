package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * One ended request.
 *
 * @param key whose it was
 * @param outcome how it ended
 * @param firstToken time from arrival to the first token at the caller, if one came
 * @param betweenTokens mean time between tokens, if there were two
 * @param generatedTokens tokens that reached the caller
 * @param recomputedTokens prompt and answer tokens computed again on its way
 * @param endedAt when it ended
 */
public record RequestSample(
        SeriesKey key,
        Outcome outcome,
        Optional<Duration> firstToken,
        Optional<Duration> betweenTokens,
        long generatedTokens,
        long recomputedTokens,
        Instant endedAt) {

    /** Checks every part. */
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
