package org.whinhead.serving.speed;

import java.time.Duration;

/** The mean of values whose weights halve in a fixed time. */
final class DecayedMean {

    /** A smaller weight is what rounding leaves, or one sample. */
    private static final double MIN_REST = 1;

    private final double mHalfLifeMillis;
    private double mWeight;
    private double mSum;
    private long mAtMillis;

    DecayedMean(final Duration halfLife) {
        mHalfLifeMillis = halfLife.toMillis();
    }

    /** Returns the factor of a weight that halves in a time. */
    static double decay(final double millis, final double halfLifeMillis) {
        return millis <= 0 ? 1 : Math.exp(-Math.log(2) * millis / halfLifeMillis);
    }

    void add(final double value, final double weight, final long nowMillis) {
        scale(decay(nowMillis - mAtMillis, mHalfLifeMillis));
        mAtMillis = Math.max(mAtMillis, nowMillis);
        mWeight += weight;
        mSum += weight * value;
    }

    /** Replaces all values. */
    void set(final double mean, final double weight, final long nowMillis) {
        mAtMillis = nowMillis;
        mWeight = weight;
        mSum = weight * mean;
    }

    /** Multiplies the weight of the values so far. */
    void scale(final double factor) {
        mWeight *= factor;
        mSum *= factor;
    }

    double weight(final long nowMillis) {
        return mWeight * decay(nowMillis - mAtMillis, mHalfLifeMillis);
    }

    /** Returns the mean of the values that are not in another mean; 0 without any. */
    double meanWithout(final DecayedMean part, final long nowMillis) {
        final double partWeight = part.weight(nowMillis);
        final double rest = weight(nowMillis) - partWeight;
        return rest < MIN_REST ? 0 : (weight(nowMillis) * mean() - partWeight * part.mean()) / rest;
    }

    /** Returns the mean; 0 without values. */
    double mean() {
        return mWeight > 0 ? mSum / mWeight : 0;
    }
}
