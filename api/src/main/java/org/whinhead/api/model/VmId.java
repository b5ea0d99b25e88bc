package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Names one VM; a replacement VM gets a new identity.
 *
 * @param value the identity as text, never blank
 */
public record VmId(String value) implements Comparable<VmId> {

    /** Checks the text. */
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
