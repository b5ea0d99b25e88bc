package org.whinhead.bench.capacity;

import java.util.Arrays;

/**
 * The repetitions of one figure.
 *
 * @param least the least of them
 * @param median the middle one
 * @param greatest the greatest
 */
record Spread(double least, double median, double greatest) {

    static Spread of(final double... repetitions) {
        final double[] sorted = repetitions.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[0], sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    /** A figure that is counted and has no spread. */
    static Spread exact(final double figure) {
        return new Spread(figure, figure, figure);
    }
}
