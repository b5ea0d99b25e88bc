package org.whinhead.serving.rollout;

/** Compares how likely answers are with and without a fault that hits a part of them. */
final class FaultLikelihood {

    /** The least share of bad answers that the old version is taken to have: chance has some. */
    static final double MIN_BASELINE_SHARE = 0.02;

    /** The highest one: beyond it a bad version can't be told from the old one at all. */
    static final double MAX_BASELINE_SHARE = 0.3;

    private FaultLikelihood() {}

    /**
     * Returns the log of how much more likely answers are if a fault hits a part of them.
     *
     * @param answers how many answers
     * @param bad how many of them were failures, or far too slow
     * @param usual the share of such answers that the old version gives
     * @param hitPart the part of the answers that the fault hits
     * @return above zero if the fault is more likely than none
     */
    static double logRatio(
            final long answers, final long bad, final double usual, final double hitPart) {
        final double expected = clampBaselineShare(usual);
        final double ifFault = shareWithFault(expected, hitPart);
        return (answers - bad) * Math.log((1 - ifFault) / (1 - expected))
                + bad * Math.log(ifFault / expected);
    }

    /** Returns the share of bad answers that is reckoned with. */
    static double clampBaselineShare(final double usual) {
        return Math.min(Math.max(usual, MIN_BASELINE_SHARE), MAX_BASELINE_SHARE);
    }

    /**
     * Returns the share of bad answers if a fault hits a part of those that are good without it.
     */
    static double shareWithFault(final double usual, final double hitPart) {
        return usual + (1 - usual) * hitPart;
    }
}
