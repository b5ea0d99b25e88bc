package org.whinhead.fleet;

import org.whinhead.api.Arguments;

/**
 * Names a pool of like engines.
 *
 * @param value the name
 */
public record PoolName(String value) implements Comparable<PoolName> {

    /** Checks the text. */
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
