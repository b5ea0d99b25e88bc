package org.whinhead.serving.rollout;

/**
 * A sequential test of whether a version's answers have become worse than they should be.
 *
 * <p>Each answer moves a sum of log likelihood ratios that never falls below zero, so that a
 * version that turns bad after many good answers is found as fast as one that was bad from the
 * start (Page, Continuous Inspection Schemes, Biometrika 1954).
 */
final class CusumDetector {

    /** The least part of the answers that a fault hits. */
    private static final double AFFECTED_SHARE = 0.25;

    /** The sum at which a version is bad; a good one reaches it once in exp(12) answers or less. */
    private static final double BAD_THRESHOLD = 12;

    private double mSum;

    /**
     * Takes answers.
     *
     * @param good how many were good
     * @param bad how many were failures, or far too slow
     * @param usual the share of such answers that the old version gives
     */
    void addAnswers(final long good, final long bad, final double usual) {
        final double change = FaultLikelihood.logRatio(good + bad, bad, usual, AFFECTED_SHARE);
        mSum = Math.max(mSum + change, 0);
    }

    boolean isBad() {
        return mSum >= BAD_THRESHOLD;
    }

    /** Returns how much speaks against the version; it is bad from {@link #BAD_AT} on. */
    double sum() {
        return mSum;
    }
}
