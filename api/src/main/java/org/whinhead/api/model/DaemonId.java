package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Identifier of one incarnation of a daemon; a restarted daemon gets a new identifier.
 *
 * @param value the identifier as text, never blank
 */
public record DaemonId(String value) implements Comparable<DaemonId> {

    /** Validates the text. */
    public DaemonId {
        Arguments.requireText(value, "daemonId");
    }

    @Override
    public int compareTo(final DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
