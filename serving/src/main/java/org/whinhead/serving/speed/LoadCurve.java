package org.whinhead.serving.speed;

/**
 * The typical logarithm of the time of a step, by the number of requests in progress.
 *
 * <p>It is linear between the powers of two. A power without samples has the value of the nearest
 * one that has some.
 */
final class LoadCurve {

    private static final int KNOTS = 12;

    /** The weight of the newest sample: the curve follows changes within some fifty samples. */
    private static final double MIN_RATE = 0.02;

    private final double[] mValues = new double[KNOTS];
    private final double[] mCounts = new double[KNOTS];

    private static double position(final int running) {
        return Math.min(Math.log(Math.max(running, 1)) / Math.log(2), KNOTS - 1.001);
    }

    boolean isEmpty() {
        for (final double count : mCounts) {
            if (count > 0) {
                return false;
            }
        }
        return true;
    }

    double value(final int running) {
        final double position = position(running);
        final int below = (int) position;
        final double above = position - below;
        return (1 - above) * knot(below) + above * knot(below + 1);
    }

    private double knot(final int index) {
        for (int distance = 0; distance < KNOTS; distance++) {
            if (index - distance >= 0 && mCounts[index - distance] > 0) {
                return mValues[index - distance];
            }
            if (index + distance < KNOTS && mCounts[index + distance] > 0) {
                return mValues[index + distance];
            }
        }
        return 0;
    }

    void add(final int running, final double value, final double weight) {
        final double position = position(running);
        final int below = (int) position;
        final double above = position - below;
        final double error = value - value(running);
        adjust(below, error, weight * (1 - above));
        adjust(below + 1, error, weight * above);
    }

    private void adjust(final int index, final double error, final double weight) {
        if (weight <= 0) {
            return;
        }
        final double before = knot(index);
        mCounts[index] += weight;
        mValues[index] = before + Math.max(weight / mCounts[index], MIN_RATE * weight) * error;
    }
}
