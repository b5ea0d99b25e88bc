package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/**
 * How much capacity is kept for a demand.
 *
 * @param tokensPerEndpoint tokens a second that one endpoint should get at most
 * @param reserve reclaimable endpoints that are kept for each endpoint that the demand needs
 */
public record CapacitySettings(double tokensPerEndpoint, double reserve) {

    /** Checks the parts. */
    public CapacitySettings {
        Arguments.requireAtLeast(Math.round(tokensPerEndpoint), 1, "tokensPerEndpoint");
        Arguments.requireAtLeast(Math.round(reserve), 1, "reserve");
    }
}
