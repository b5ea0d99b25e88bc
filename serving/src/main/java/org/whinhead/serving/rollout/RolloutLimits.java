package org.whinhead.serving.rollout;

import org.whinhead.api.Arguments;

/**
 * The limit of the requests that a bad version may receive, from the platform's settings.
 *
 * @param exposureShare the share of a service's requests between the order and the end of its time
 *     budget, above 0 and up to 1
 * @param exposureSlack the number of requests beyond that share
 */
public record RolloutLimits(double exposureShare, int exposureSlack) {

    /** Checks the components. */
    public RolloutLimits {
        if (!(exposureShare > 0 && exposureShare <= 1)) {
            throw new IllegalArgumentException(
                    "exposureShare must be above 0 and at most 1: " + exposureShare);
        }
        Arguments.requireAtLeast(exposureSlack, 0, "exposureSlack");
    }

    /** Returns the number of requests that a bad version may receive out of the given number. */
    double maxExposedRequests(final double requests) {
        return exposureShare * requests + exposureSlack;
    }
}
