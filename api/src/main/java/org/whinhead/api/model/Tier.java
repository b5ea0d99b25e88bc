package org.whinhead.api.model;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A service tier: how urgent its requests are and which latency they are promised.
 *
 * @param name the tier's name
 * @param priority its rank; a larger number is served first and shed last
 * @param firstTokenTarget the promised time to the first token
 * @param betweenTokensTarget the promised time between tokens
 * @param requestTimeout the longest time that a request may take in all
 */
public record Tier(
        String name,
        int priority,
        Duration firstTokenTarget,
        Duration betweenTokensTarget,
        Duration requestTimeout) {

    /** Checks every part. */
    public Tier {
        Arguments.requireText(name, "name");
        Arguments.requireAtLeast(priority, 0, "priority");
        Arguments.requirePositive(firstTokenTarget, "firstTokenTarget");
        Arguments.requirePositive(betweenTokensTarget, "betweenTokensTarget");
        Arguments.requirePositive(requestTimeout, "requestTimeout");
        Objects.requireNonNull(name, "name");
    }
}
