package org.whinhead.api.model;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A model as a request names it and as an engine has it loaded.
 *
 * @param name the model's name
 * @param version the version
 * @param adapter the adapter on top of the model, if any
 */
public record ModelRef(String name, String version, Optional<String> adapter) {

    private static final String SEPARATOR = "@";
    private static final String ADAPTER_SEPARATOR = "+";

    /** Checks every part. */
    public ModelRef {
        Arguments.requireText(name, "name");
        Arguments.requireText(version, "version");
        Objects.requireNonNull(adapter, "adapter");
    }

    /**
     * Makes a reference without an adapter.
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
     * @param text the text form, as {@link #toString} gives it
     * @return the reference
     * @throws IllegalArgumentException if the text has no version
     */
    public static ModelRef parse(final String text) {
        final int at = text.indexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException("model reference without version: " + text);
        }
        final String rest = text.substring(at + 1);
        final int plus = rest.indexOf(ADAPTER_SEPARATOR);
        final String name = text.substring(0, at);
        if (plus < 0) {
            return of(name, rest);
        }
        return new ModelRef(name, rest.substring(0, plus), Optional.of(rest.substring(plus + 1)));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + version + adapter.map(a -> ADAPTER_SEPARATOR + a).orElse("");
    }
}
