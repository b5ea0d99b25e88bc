package org.whinhead.report;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * What a tier promises.
 *
 * @param tier the tier's name
 * @param availability share of requests that get what they asked for, for example 0.999
 * @param latencyShare share of requests within the latency targets, for example 0.95
 * @param firstTokenTarget time to the first token
 * @param betweenTokensTarget time between tokens
 */
public record Objective(
        String tier,
        double availability,
        double latencyShare,
        Duration firstTokenTarget,
        Duration betweenTokensTarget) {

    /** Checks every part. */
    public Objective {
        Arguments.requireText(tier, "tier");
        requireShare(availability, "availability");
        requireShare(latencyShare, "latencyShare");
        Arguments.requirePositive(firstTokenTarget, "firstTokenTarget");
        Arguments.requirePositive(betweenTokensTarget, "betweenTokensTarget");
    }

    private static void requireShare(final double share, final String name) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " is not above 0 and at most 1: " + share);
        }
    }
}
