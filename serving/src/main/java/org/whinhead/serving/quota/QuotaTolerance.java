package org.whinhead.serving.quota;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Window and tolerance within which a deployment measures the spending of customers.
 *
 * @param window the length of the sliding window in which tokens are summed
 * @param overshootFraction the accepted spending beyond the allowance, as a fraction of it
 * @param slackTokens the accepted spending beyond both, in tokens
 */
public record QuotaTolerance(Duration window, double overshootFraction, long slackTokens) {

    /** Checks the components. */
    public QuotaTolerance {
        Arguments.requirePositive(window, "window");
        Arguments.requireAtLeast(slackTokens, 0, "slackTokens");
    }
}
