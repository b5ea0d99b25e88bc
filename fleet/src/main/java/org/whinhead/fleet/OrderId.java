package org.whinhead.fleet;

import org.whinhead.api.Arguments;

/**
 * Names one order; an order sent again under its name has no second effect.
 *
 * @param value the identity as text
 */
public record OrderId(String value) implements Comparable<OrderId> {

    /** Checks the text. */
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
