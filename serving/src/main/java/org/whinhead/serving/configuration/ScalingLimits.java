package org.whinhead.serving.configuration;

import java.time.Duration;
import java.util.Map;
import org.whinhead.api.Arguments;

/**
 * Limits of the number of endpoints of a service, and their prices.
 *
 * @param least the smallest number of endpoints in a failure domain, reclaimable ones included
 * @param most the largest number of endpoints in a failure domain, reclaimable ones included
 * @param bootTime the time from the order of an endpoint until it serves
 * @param reclaimablePrice the price of a reclaimable endpoint relative to an on-demand one
 * @param domainPrices the price per second of an endpoint by failure domain
 */
public record ScalingLimits(
        int least,
        int most,
        Duration bootTime,
        double reclaimablePrice,
        Map<String, Double> domainPrices) {

    /** Checks and copies the components. */
    public ScalingLimits {
        Arguments.requireAtLeast(least, 0, "least");
        Arguments.requireAtLeast(most, least, "most");
        Arguments.requirePositive(bootTime, "bootTime");
        domainPrices = Map.copyOf(domainPrices);
    }
}
