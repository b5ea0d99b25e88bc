package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Identifier of a VM; a replacement VM gets a new identifier.
 *
 * @param value the identifier as text, never blank
 */
public record VmId(String value) implements Comparable<VmId> {

    /** Validates the text. */
    public VmId {
        Arguments.requireText(value, "vmId");
    }

    @Override
    public int compareTo(final VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
