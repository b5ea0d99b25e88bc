package org.whinhead.fleet;

import org.whinhead.api.Arguments;

/**
 * The name of a pool of equivalent engines.
 *
 * @param value the name, not empty
 */
public record PoolName(String value) implements Comparable<PoolName> {

    /** Validates the name. */
    public PoolName {
        Arguments.requireText(value, "pool");
    }

    @Override
    public int compareTo(final PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
