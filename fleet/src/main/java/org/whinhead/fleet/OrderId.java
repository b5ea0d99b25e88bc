package org.whinhead.fleet;

import org.whinhead.api.Arguments;

/**
 * The ID of an order; an order sent again with the same ID has no second effect.
 *
 * @param value the ID as text, not empty
 */
public record OrderId(String value) implements Comparable<OrderId> {

    /** Validates the ID. */
    public OrderId {
        Arguments.requireText(value, "orderId");
    }

    @Override
    public int compareTo(final OrderId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
