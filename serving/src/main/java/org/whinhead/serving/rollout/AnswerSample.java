package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What the new version has shown of one kind of bad answers on one route, beside the old version.
 *
 * @param answers answers of the new version
 * @param bad how many of them were bad
 * @param usual the share of the old version's answers that were bad
 * @param oldAnswers how many answers of the old version that share was seen on
 */
record AnswerSample(int answers, int bad, double baselineShare, long baselineAnswers) {

    /** Standard errors on either side of the old version's share that are reckoned with. */
    private static final double MAX_STANDARD_ERRORS = 2;

    /** The distance between two shares that are reckoned with, in standard errors. */
    private static final double STANDARD_ERROR_STEP = 0.5;

    /** The most further answers that are ever asked for. */
    private static final int MAX_REQUIRED_ANSWERS = 128;

    /** Standard deviations more bad answers than usual that a good version must be able to give. */
    private static final double TOLERATED_DEVIATIONS = 1.5;

    /** Checks the parts. */
    AnswerSample {
        Arguments.requireAtLeast(answers, 0, "answers");
        Arguments.requireAtLeast(bad, 0, "bad");
        Arguments.requireAtLeast(baselineAnswers, 0, "oldAnswers");
    }

    /**
     * Returns how likely it is that a fault shows as few bad answers as samples hold in all.
     *
     * @param samples the samples, one for each route
     * @param hitPart the part of the answers that the fault hits
     * @return 0 to 1
     */
    static double probabilityOfAtMost(final List<AnswerSample> samples, final double hitPart) {
        return sum(totalDistribution(samples, hitPart), 0, totalBad(samples));
    }

    /**
     * Returns how likely it is that a version without a fault shows as many bad answers as samples
     * hold in all.
     *
     * @param samples the samples, one for each route
     * @return 0 to 1
     */
    static double probabilityOfAtLeast(final List<AnswerSample> samples) {
        final double[] counts = totalDistribution(samples, 0);
        return sum(counts, totalBad(samples), counts.length - 1);
    }

    private static int totalBad(final List<AnswerSample> samples) {
        return samples.stream().mapToInt(AnswerSample::bad).sum();
    }

    /** Returns the chance of each count of bad answers in all samples. */
    private static double[] totalDistribution(
            final List<AnswerSample> samples, final double hitPart) {
        double[] counts = {1};
        for (final AnswerSample sample : samples) {
            counts = convolve(counts, sample.distribution(hitPart));
        }
        return counts;
    }

    private static double sum(final double[] chances, final int from, final int last) {
        double sum = 0;
        for (int count = from; count <= Math.min(last, chances.length - 1); count++) {
            sum += chances[count];
        }
        return Math.min(sum, 1);
    }

    /**
     * Counts the further answers after which a fault can be ruled out, if the version is as good as
     * the old one and a little unlucky.
     *
     * @param hitPart the part of the answers that the fault hits
     * @param mostChance the chance of overlooking the fault that is accepted
     * @return 0 if it is ruled out already
     */
    int requiredAnswers(final double hitPart, final double mostChance) {
        int low = 0;
        int high = MAX_REQUIRED_ANSWERS;
        while (low < high) {
            final int middle = (low + high) / 2;
            if (probabilityOfAtMost(List.of(extendedBy(middle)), hitPart) <= mostChance) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private AnswerSample extendedBy(final int more) {
        final double expected = more * baselineShare;
        final double deviation = Math.sqrt(expected * (1 - baselineShare));
        final long moreBad = Math.round(expected + TOLERATED_DEVIATIONS * deviation);
        return new AnswerSample(
                answers + more, (int) (bad + moreBad), baselineShare, baselineAnswers);
    }

    /** Returns the chance of each count of bad answers, over what the old share may really be. */
    private double[] distribution(final double hitPart) {
        final double error =
                Math.sqrt(baselineShare * (1 - baselineShare) / Math.max(baselineAnswers, 1));
        final double[] chances = new double[answers + 1];
        double weights = 0;
        for (double errors = -MAX_STANDARD_ERRORS;
                errors <= MAX_STANDARD_ERRORS;
                errors += STANDARD_ERROR_STEP) {
            final double weight = Math.exp(-errors * errors / 2);
            final double share = FaultLikelihood.clampBaselineShare(baselineShare + errors * error);
            addBinomial(chances, FaultLikelihood.shareWithFault(share, hitPart), weight);
            weights += weight;
        }
        for (int count = 0; count <= answers; count++) {
            chances[count] /= weights;
        }
        return chances;
    }

    private static void addBinomial(
            final double[] chances, final double share, final double weight) {
        final int trials = chances.length - 1;
        double logChance = trials * Math.log(1 - share);
        for (int count = 0; count <= trials; count++) {
            chances[count] += weight * Math.exp(logChance);
            logChance += Math.log(share / (1 - share) * (trials - count) / (count + 1));
        }
    }

    private static double[] convolve(final double[] first, final double[] second) {
        final double[] sums = new double[first.length + second.length - 1];
        for (int one = 0; one < first.length; one++) {
            for (int two = 0; two < second.length; two++) {
                sums[one + two] += first[one] * second[two];
            }
        }
        return sums;
    }
}
