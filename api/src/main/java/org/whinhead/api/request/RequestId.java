package org.whinhead.api.request;

import org.whinhead.api.Arguments;

/**
 * Identifier of an accepted request, the same across daemons, attempts and reconnects.
 *
 * @param value the identifier as text, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Validates the text. */
    public RequestId {
        Arguments.requireText(value, "requestId");
    }

    @Override
    public int compareTo(final RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
