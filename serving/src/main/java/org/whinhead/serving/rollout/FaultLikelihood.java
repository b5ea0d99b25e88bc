package org.whinhead.serving.rollout;

/** Computes the likelihood of answers with and without a fault that affects a share of them. */
final class FaultLikelihood {

    /** The lowest share assumed for the old version, since a few answers are bad by chance. */
    static final double MIN_BASELINE_SHARE = 0.02;

    /** The highest share assumed: above it a bad version can't be told from the old one. */
    static final double MAX_BASELINE_SHARE = 0.3;

    private FaultLikelihood() {}

    /**
     * Returns the log likelihood ratio of a fault that affects a share of the answers.
     *
     * @param answers the number of answers
     * @param bad the number of those that failed or were far too slow
     * @param baselineShare the share of such answers that the old version gives, 0 to 1
     * @param affectedShare the share of the answers that the fault affects, 0 to 1
     * @return a positive number if a fault is more likely than none
     */
    static double logRatio(
            final long answers,
            final long bad,
            final double baselineShare,
            final double affectedShare) {
        final double expected = clampBaselineShare(baselineShare);
        final double withFault = shareWithFault(expected, affectedShare);
        return (answers - bad) * Math.log((1 - withFault) / (1 - expected))
                + bad * Math.log(withFault / expected);
    }

    /** Returns the old version's share of bad answers, limited to the assumed range. */
    static double clampBaselineShare(final double baselineShare) {
        return Math.min(Math.max(baselineShare, MIN_BASELINE_SHARE), MAX_BASELINE_SHARE);
    }

    /** Returns the share of bad answers if a fault affects a share of the good ones. */
    static double shareWithFault(final double baselineShare, final double affectedShare) {
        return baselineShare + (1 - baselineShare) * affectedShare;
    }
}
