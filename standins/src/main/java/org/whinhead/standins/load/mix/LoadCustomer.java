package org.whinhead.standins.load.mix;

import org.whinhead.api.Arguments;

/**
 * A customer as its callers know it.
 *
 * @param name the customer's name
 * @param key the key that its callers send
 * @param tier the name of the tier that its requests run in
 * @param weight its share of the requests against the other customers
 */
public record LoadCustomer(String name, String key, String tier, int weight) {

    /** Checks every part. */
    public LoadCustomer {
        Arguments.requireText(name, "name");
        Arguments.requireText(key, "key");
        Arguments.requireText(tier, "tier");
        Arguments.requireAtLeast(weight, 1, "weight");
    }
}
