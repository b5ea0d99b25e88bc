package org.whinhead.api;

import java.time.Duration;
import java.util.Objects;

/** Early checks of constructor arguments, each failing with the name of the argument. */
public final class Arguments {

    private Arguments() {}

    /**
     * Requires a text that is neither null nor blank.
     *
     * @param value the text to check
     * @param name the argument's name, for the error
     * @return the same text
     */
    public static String requireText(final String value, final String name) {
        Objects.requireNonNull(value, name);
        if (value.isBlank()) {
            throw new IllegalArgumentException(name + " is blank");
        }
        return value;
    }

    /**
     * Requires a number of at least a bound.
     *
     * @param value the number to check
     * @param least the smallest allowed number
     * @param name the argument's name, for the error
     * @return the same number
     */
    public static long requireAtLeast(final long value, final long least, final String name) {
        if (value < least) {
            throw new IllegalArgumentException(name + " is " + value + ", below " + least);
        }
        return value;
    }

    /**
     * Requires a duration longer than zero.
     *
     * @param value the duration to check
     * @param name the argument's name, for the error
     * @return the same duration
     */
    public static Duration requirePositive(final Duration value, final String name) {
        Objects.requireNonNull(value, name);
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
        return value;
    }
}
