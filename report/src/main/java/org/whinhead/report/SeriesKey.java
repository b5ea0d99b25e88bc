package org.whinhead.report;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;

/**
 * The customer and tier whose requests a series counts.
 *
 * @param customer the customer
 * @param tier the tier's name
 */
public record SeriesKey(CustomerId customer, String tier) implements Comparable<SeriesKey> {

    /** Checks the components. */
    public SeriesKey {
        Objects.requireNonNull(customer, "customer");
        Arguments.requireText(tier, "tier");
    }

    @Override
    public int compareTo(final SeriesKey other) {
        final int byCustomer = customer.compareTo(other.customer);
        return byCustomer != 0 ? byCustomer : tier.compareTo(other.tier);
    }
}
