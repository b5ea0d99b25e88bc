package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Identifier of an endpoint, which is one server process on one VM.
 *
 * @param value the identifier as text, never blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Validates the text. */
    public EndpointId {
        Arguments.requireText(value, "endpointId");
    }

    @Override
    public int compareTo(final EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
