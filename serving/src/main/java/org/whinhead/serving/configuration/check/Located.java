package org.whinhead.serving.configuration.check;

import java.util.Objects;

/**
 * A decoded entry and its place in the text.
 *
 * @param value the entry
 * @param path its place
 * @param <T> the type of the entry
 */
public record Located<T>(T value, EntryPath path) {

    /** Checks the components. */
    public Located {
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(path, "path");
    }

    /**
     * Returns the path of a field of the entry.
     *
     * @param field the field
     * @return the path
     */
    public String field(final EntryField field) {
        return path.field(field);
    }
}
