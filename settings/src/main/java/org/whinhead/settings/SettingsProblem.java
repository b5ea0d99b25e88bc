package org.whinhead.settings;

import java.util.Comparator;
import java.util.Objects;

/**
 * One problem found in a document.
 *
 * @param path the JSON path of the problem, for example {@code $.limits.ringSize}
 * @param messageKey the key of the text, stable for scripts
 * @param message the human-readable text
 */
public record SettingsProblem(String path, String messageKey, String message)
        implements Comparable<SettingsProblem> {

    private static final Comparator<SettingsProblem> ORDER =
            Comparator.comparing(SettingsProblem::path)
                    .thenComparing(SettingsProblem::messageKey)
                    .thenComparing(SettingsProblem::message);

    /** Validates the components. */
    public SettingsProblem {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(messageKey, "messageKey");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Creates a problem whose text is looked up by its key.
     *
     * @param path the JSON path of the problem
     * @param messageKey the key of the text
     * @param arguments the values of the text's placeholders
     * @return the problem
     */
    public static SettingsProblem of(
            final String path, final String messageKey, final Object... arguments) {
        return new SettingsProblem(path, messageKey, SettingsMessages.text(messageKey, arguments));
    }

    @Override
    public int compareTo(final SettingsProblem other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
