package org.whinhead.bench.capacity;

import java.util.Arrays;

/**
 * The minimum, median and maximum of the repetitions of one measurement.
 *
 * @param least the minimum
 * @param median the median
 * @param greatest the maximum
 */
record Spread(double least, double median, double greatest) {

    static Spread of(final double... repetitions) {
        final double[] sorted = repetitions.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[0], sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    /** Returns the spread of a counted figure, which does not vary. */
    static Spread exact(final double figure) {
        return new Spread(figure, figure, figure);
    }
}
