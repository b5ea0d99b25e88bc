package org.whinhead.serving.rollout;

import org.whinhead.api.Arguments;

/**
 * What a bad version may get, by the platform's settings.
 *
 * @param exposureShare the part of a service's requests between the order and its time budget
 * @param exposureSlack requests beyond that part
 */
public record RolloutLimits(double exposureShare, int exposureSlack) {

    /** Checks the parts. */
    public RolloutLimits {
        if (!(exposureShare > 0 && exposureShare <= 1)) {
            throw new IllegalArgumentException("exposureShare is no part: " + exposureShare);
        }
        Arguments.requireAtLeast(exposureSlack, 0, "exposureSlack");
    }

    /** Counts the requests that a bad version may get out of some. */
    double maxExposedRequests(final double requests) {
        return exposureShare * requests + exposureSlack;
    }
}
