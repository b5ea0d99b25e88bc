package org.whinhead.serving.rollout;

/**
 * A sequential test that detects when a version's answers become worse than the old version's.
 *
 * <p>Each answer adds to a sum of log likelihood ratios that never falls below zero (CUSUM; Page,
 * Continuous Inspection Schemes, Biometrika 1954), so that a version that turns bad after many good
 * answers is detected as fast as one that was bad from the start.
 */
final class CusumDetector {

    /** The smallest share of affected answers that counts as a fault. */
    private static final double AFFECTED_SHARE = 0.25;

    /** The sum from which a version is bad; a good one needs exp(12) answers or more for it. */
    private static final double BAD_THRESHOLD = 12;

    private double mSum;

    /**
     * Adds answers to the sum.
     *
     * @param good the number of good answers
     * @param bad the number of answers that failed or were far too slow
     * @param baselineShare the share of such answers that the old version gives, 0 to 1
     */
    void addAnswers(final long good, final long bad, final double baselineShare) {
        final double change =
                FaultLikelihood.logRatio(good + bad, bad, baselineShare, AFFECTED_SHARE);
        mSum = Math.max(mSum + change, 0);
    }

    boolean isBad() {
        return mSum >= BAD_THRESHOLD;
    }

    /** Returns the sum of log likelihood ratios, at least 0. */
    double sum() {
        return mSum;
    }
}
