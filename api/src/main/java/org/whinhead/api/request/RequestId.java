package org.whinhead.api.request;

import org.whinhead.api.Arguments;

/**
 * Names one accepted request across daemons, attempts and reconnects.
 *
 * @param value the identity as text, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Checks the text. */
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
