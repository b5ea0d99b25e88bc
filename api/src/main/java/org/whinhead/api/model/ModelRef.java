package org.whinhead.api.model;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * Reference to one version of a model, optionally with an adapter.
 *
 * @param name the model's name
 * @param version the model's version
 * @param adapter the adapter applied to the model, if any
 */
public record ModelRef(String name, String version, Optional<String> adapter) {

    private static final String SEPARATOR = "@";
    private static final String ADAPTER_SEPARATOR = "+";

    /** Validates the components. */
    public ModelRef {
        Arguments.requireText(name, "name");
        Arguments.requireText(version, "version");
        Objects.requireNonNull(adapter, "adapter");
    }

    /**
     * Creates a reference without an adapter.
     *
     * @param name the model's name
     * @param version the version
     * @return the reference
     */
    public static ModelRef of(final String name, final String version) {
        return new ModelRef(name, version, Optional.empty());
    }

    /**
     * Parses {@code name@version} or {@code name@version+adapter}.
     *
     * @param text the text form, as returned by {@link #toString}
     * @return the reference
     * @throws IllegalArgumentException if the text has no version
     */
    public static ModelRef parse(final String text) {
        final int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("model reference without version: " + text);
        }
        final String versionAndAdapter = text.substring(separator + 1);
        final int adapterSeparator = versionAndAdapter.indexOf(ADAPTER_SEPARATOR);
        final String name = text.substring(0, separator);
        if (adapterSeparator < 0) {
            return of(name, versionAndAdapter);
        }
        return new ModelRef(
                name,
                versionAndAdapter.substring(0, adapterSeparator),
                Optional.of(versionAndAdapter.substring(adapterSeparator + 1)));
    }

    @Override
    public String toString() {
        return name
                + SEPARATOR
                + version
                + adapter.map(text -> ADAPTER_SEPARATOR + text).orElse("");
    }
}
