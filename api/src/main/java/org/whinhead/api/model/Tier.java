package org.whinhead.api.model;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A service tier: the priority and the latency targets of its requests.
 *
 * @param name the tier's name
 * @param priority its priority, at least 0; a larger number is served first and shed last
 * @param firstTokenTarget the target for the time to the first token
 * @param betweenTokensTarget the target for the time between two tokens
 * @param requestTimeout the longest total time of a request
 */
public record Tier(
        String name,
        int priority,
        Duration firstTokenTarget,
        Duration betweenTokensTarget,
        Duration requestTimeout) {

    /** Validates the components. */
    public Tier {
        Arguments.requireText(name, "name");
        Arguments.requireAtLeast(priority, 0, "priority");
        Arguments.requirePositive(firstTokenTarget, "firstTokenTarget");
        Arguments.requirePositive(betweenTokensTarget, "betweenTokensTarget");
        Arguments.requirePositive(requestTimeout, "requestTimeout");
        Objects.requireNonNull(name, "name");
    }
}
