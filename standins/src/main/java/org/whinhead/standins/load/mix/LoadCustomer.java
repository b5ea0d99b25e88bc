package org.whinhead.standins.load.mix;

import org.whinhead.api.Arguments;

/**
 * A customer whose requests the load program sends.
 *
 * @param name the customer's name
 * @param key the API key of its requests
 * @param tier the name of the tier that its requests run in
 * @param weight its weight among the customers; its share of the requests is the weight divided by
 *     the sum of all weights
 */
public record LoadCustomer(String name, String key, String tier, int weight) {

    /** Checks the values. */
    public LoadCustomer {
        Arguments.requireText(name, "name");
        Arguments.requireText(key, "key");
        Arguments.requireText(tier, "tier");
        Arguments.requireAtLeast(weight, 1, "weight");
    }
}
