package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Identifier of a customer.
 *
 * @param value the identifier as text, never blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

    /** Validates the text. */
    public CustomerId {
        Arguments.requireText(value, "customerId");
    }

    @Override
    public int compareTo(final CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
