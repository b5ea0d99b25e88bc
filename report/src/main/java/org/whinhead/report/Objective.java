package org.whinhead.report;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The service-level objective of a tier.
 *
 * @param tier the tier's name
 * @param availability target share (0 to 1) of requests that complete, for example 0.999
 * @param latencyShare target share (0 to 1) of requests in time, for example 0.95
 * @param firstTokenTarget the longest time to the first token that is in time
 * @param betweenTokensTarget the longest mean time between tokens that is in time
 */
public record Objective(
        String tier,
        double availability,
        double latencyShare,
        Duration firstTokenTarget,
        Duration betweenTokensTarget) {

    /** Checks the components. */
    public Objective {
        Arguments.requireText(tier, "tier");
        requireShare(availability, "availability");
        requireShare(latencyShare, "latencyShare");
        Arguments.requirePositive(firstTokenTarget, "firstTokenTarget");
        Arguments.requirePositive(betweenTokensTarget, "betweenTokensTarget");
    }

    private static void requireShare(final double share, final String name) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " must be above 0 and at most 1: " + share);
        }
    }
}
