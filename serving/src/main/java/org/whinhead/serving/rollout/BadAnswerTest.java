package org.whinhead.serving.rollout;

/**
 * A sequential test of whether a version's answers are worse than they should be.
 *
 * <p>Each answer moves two sums of log likelihood ratios. The first never falls below zero, so that
 * a version that turns bad after many good answers is found as fast as one that was bad from the
 * start (Page, Continuous Inspection Schemes, Biometrika 1954). The second keeps everything, and
 * says when a version has shown enough to be called good (Wald, Sequential Tests of Statistical
 * Hypotheses, Annals of Mathematical Statistics 1945).
 */
final class BadAnswerTest {

    /** The least share of bad answers by which a bad version is worse than the old one. */
    private static final double BAD_PART = 0.25;

    /** The least share of bad answers that the old version is taken to have: chance has some. */
    private static final double LEAST_USUAL = 0.02;

    /** The highest one: beyond it a bad version can't be told from the old one at all. */
    static final double MOST_USUAL = 0.3;

    /**
     * The first sum at which a version is bad. A good version that gives n answers reaches it with
     * a chance of at most n times exp(-9), 1% at 80 answers, in simulated roll-outs once in some
     * hundred; at a usual share of 2% four bad answers in a row do.
     */
    private static final double BAD_AT = 9;

    /**
     * The second sum from which on a version is suspected. Completing a bad version can't be taken
     * back, and turning a good one back costs another order: so half a doubt is enough.
     */
    private static final double SUSPECTED_AT = 0;

    /** The second sum at which a version is good: a bad one gets there once in a hundred times. */
    private static final double GOOD_AT = -4.6;

    /** The second sum up to which a version may be tried with more requests on a route. */
    private static final double PROMISING_AT = 4;

    /** The same for all routes together: something good must have been seen. */
    private static final double PROMISING_OVERALL_AT = -2;

    private double mSinceGood;
    private double mInAll;

    /**
     * Takes answers.
     *
     * @param good how many were good
     * @param bad how many were failures, or far too slow
     * @param usual the share of such answers that the old version gives
     */
    void answers(final long good, final long bad, final double usual) {
        final double expected = Math.min(Math.max(usual, LEAST_USUAL), MOST_USUAL);
        final double ifBad = expected + (1 - expected) * BAD_PART;
        final double forGood = Math.log((1 - ifBad) / (1 - expected));
        final double forBad = Math.log(ifBad / expected);
        final double change = good * forGood + bad * forBad;
        mSinceGood = Math.max(mSinceGood + change, 0);
        mInAll += change;
    }

    boolean isBad() {
        return mSinceGood >= BAD_AT;
    }

    boolean isSuspected() {
        return isBad() || mInAll > SUSPECTED_AT;
    }

    /** Tells whether more requests are likely to show that the version is good. */
    boolean isPromising() {
        return !isBad() && mInAll <= PROMISING_AT;
    }

    /** The same for all routes together. */
    boolean isPromisingOverall() {
        return !isBad() && mInAll <= PROMISING_OVERALL_AT;
    }

    boolean isGood() {
        return !isBad() && mInAll <= GOOD_AT;
    }

    /** Returns how much speaks against the version; it is bad from {@link #BAD_AT} on. */
    double evidence() {
        return mSinceGood;
    }
}
