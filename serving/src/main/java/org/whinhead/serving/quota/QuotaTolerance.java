package org.whinhead.serving.quota;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * How a deployment measures what customers spend.
 *
 * @param window the sliding time in which tokens are summed
 * @param overPart what may be spent beyond the allowance, as a part of it
 * @param slackTokens what may be spent beyond that
 */
public record QuotaTolerance(Duration window, double overshootFraction, long slackTokens) {

    /** Checks the parts. */
    public QuotaTolerance {
        Arguments.requirePositive(window, "window");
        Arguments.requireAtLeast(slackTokens, 0, "slackTokens");
    }
}
