package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * Identifier of a team, which owns a subtree of the settings.
 *
 * @param value the identifier as text, never blank
 */
public record TeamId(String value) implements Comparable<TeamId> {

    /** Validates the text. */
    public TeamId {
        Arguments.requireText(value, "teamId");
    }

    @Override
    public int compareTo(final TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
