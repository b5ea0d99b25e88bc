package org.whinhead.api;

import java.time.Duration;
import java.util.Objects;

/** Checks of constructor arguments; the exception of each names the argument. */
public final class Arguments {

    private Arguments() {}

    /**
     * Requires a text that is neither null nor blank.
     *
     * @param value the text to check
     * @param name the argument's name, for the error
     * @return the same text
     * @throws IllegalArgumentException if the text is blank
     */
    public static String requireText(final String value, final String name) {
        Objects.requireNonNull(value, name);
        if (value.isBlank()) {
            throw new IllegalArgumentException(name + " is blank");
        }
        return value;
    }

    /**
     * Requires a number that is not below a bound.
     *
     * @param value the number to check
     * @param minimum the smallest allowed number
     * @param name the argument's name, for the error
     * @return the same number
     * @throws IllegalArgumentException if the number is below the bound
     */
    public static long requireAtLeast(final long value, final long minimum, final String name) {
        if (value < minimum) {
            throw new IllegalArgumentException(name + " is " + value + ", below " + minimum);
        }
        return value;
    }

    /**
     * Requires a duration longer than zero.
     *
     * @param value the duration to check
     * @param name the argument's name, for the error
     * @return the same duration
     * @throws IllegalArgumentException if the duration is zero or negative
     */
    public static Duration requirePositive(final Duration value, final String name) {
        Objects.requireNonNull(value, name);
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
        return value;
    }
}
