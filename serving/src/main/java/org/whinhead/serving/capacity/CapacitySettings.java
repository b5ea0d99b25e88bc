package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/**
 * How much capacity is kept for a demand.
 *
 * @param tokensPerEndpoint tokens a second that one endpoint should get at most
 * @param reserve reclaimable endpoints that are kept for each endpoint that the demand needs
 * @param survivingPart the part of the needed endpoints that must be left if any failure domain's
 *     reclaimable ones go now; more are ordered once they do
 */
public record CapacitySettings(double tokensPerEndpoint, double reserve, double survivingPart) {

    /** Checks the parts. */
    public CapacitySettings {
        Arguments.requireAtLeast(Math.round(tokensPerEndpoint), 1, "tokensPerEndpoint");
        Arguments.requireAtLeast(Math.round(reserve), 1, "reserve");
        if (survivingPart < 0 || survivingPart > 1) {
            throw new IllegalArgumentException("survivingPart is no part: " + survivingPart);
        }
    }
}
