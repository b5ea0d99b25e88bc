package org.whinhead.serving.configuration;

import java.time.Duration;
import java.util.Map;
import org.whinhead.api.Arguments;

/**
 * How many endpoints of a service may be ordered, and what they cost.
 *
 * @param least the smallest number in a failure domain, of both kinds together
 * @param most the largest number in a failure domain, of both kinds together
 * @param bootTime how long a new endpoint takes before it serves
 * @param reclaimablePrice the price of a reclaimable endpoint relative to the other kind
 * @param domainPrices the price of a second of an endpoint by failure domain
 */
public record ScalingLimits(
        int least,
        int most,
        Duration bootTime,
        double reclaimablePrice,
        Map<String, Double> domainPrices) {

    /** Checks and copies the parts. */
    public ScalingLimits {
        Arguments.requireAtLeast(least, 0, "least");
        Arguments.requireAtLeast(most, least, "most");
        Arguments.requirePositive(bootTime, "bootTime");
        domainPrices = Map.copyOf(domainPrices);
    }
}
