package org.whinhead.serving.rollout;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The new version's answers on one route with respect to one kind of bad answers, together with the
 * old version's share of them.
 *
 * @param answers the number of answers of the new version
 * @param bad the number of those that are bad
 * @param baselineShare the share of the old version's answers that are bad, 0 to 1
 * @param baselineAnswers the number of the old version's answers that the share was measured on
 */
record AnswerSample(int answers, int bad, double baselineShare, long baselineAnswers) {

    /** The assumed error of the baseline share on either side, in standard errors. */
    private static final double MAX_STANDARD_ERRORS = 2;

    /** The step between the assumed true shares, in standard errors. */
    private static final double STANDARD_ERROR_STEP = 0.5;

    /** The upper bound of {@link #requiredAnswers}. */
    private static final int MAX_REQUIRED_ANSWERS = 128;

    /** The standard deviations above the expected bad answers that a good version may show. */
    private static final double TOLERATED_DEVIATIONS = 1.5;

    /** Checks the components. */
    AnswerSample {
        Arguments.requireAtLeast(answers, 0, "answers");
        Arguments.requireAtLeast(bad, 0, "bad");
        Arguments.requireAtLeast(baselineAnswers, 0, "baselineAnswers");
    }

    /**
     * Returns the probability that a version with a fault gives no more bad answers than the
     * samples.
     *
     * @param samples the samples, one for each route
     * @param affectedShare the share of the answers that the fault affects, 0 to 1
     * @return the probability, 0 to 1
     */
    static double probabilityOfAtMost(
            final List<AnswerSample> samples, final double affectedShare) {
        return sum(totalDistribution(samples, affectedShare), 0, totalBad(samples));
    }

    /**
     * Returns the probability that a good version gives no fewer bad answers than the samples.
     *
     * @param samples the samples, one for each route
     * @return the probability, 0 to 1
     */
    static double probabilityOfAtLeast(final List<AnswerSample> samples) {
        final double[] distribution = totalDistribution(samples, 0);
        return sum(distribution, totalBad(samples), distribution.length - 1);
    }

    private static int totalBad(final List<AnswerSample> samples) {
        return samples.stream().mapToInt(AnswerSample::bad).sum();
    }

    /** Returns the probability of each total number of bad answers in all samples. */
    private static double[] totalDistribution(
            final List<AnswerSample> samples, final double affectedShare) {
        double[] distribution = {1};
        for (final AnswerSample sample : samples) {
            distribution = convolve(distribution, sample.distribution(affectedShare));
        }
        return distribution;
    }

    private static double sum(final double[] probabilities, final int from, final int last) {
        double sum = 0;
        for (int count = from; count <= Math.min(last, probabilities.length - 1); count++) {
            sum += probabilities[count];
        }
        return Math.min(sum, 1);
    }

    /**
     * Returns the number of further answers that rule out a fault if the version is as good as the
     * old one and shows a few more bad answers than expected.
     *
     * @param affectedShare the share of the answers that the fault affects, 0 to 1
     * @param maxProbability the accepted probability of missing the fault
     * @return 0 if the fault is ruled out already
     */
    int requiredAnswers(final double affectedShare, final double maxProbability) {
        int low = 0;
        int high = MAX_REQUIRED_ANSWERS;
        while (low < high) {
            final int middle = (low + high) / 2;
            if (probabilityOfAtMost(List.of(extendedBy(middle)), affectedShare) <= maxProbability) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private AnswerSample extendedBy(final int furtherAnswers) {
        final double expected = furtherAnswers * baselineShare;
        final double deviation = Math.sqrt(expected * (1 - baselineShare));
        final long furtherBad = Math.round(expected + TOLERATED_DEVIATIONS * deviation);
        return new AnswerSample(
                answers + furtherAnswers, (int) (bad + furtherBad), baselineShare, baselineAnswers);
    }

    /** Returns the probability of each number of bad answers for an uncertain baseline share. */
    private double[] distribution(final double affectedShare) {
        final double error =
                Math.sqrt(baselineShare * (1 - baselineShare) / Math.max(baselineAnswers, 1));
        final double[] probabilities = new double[answers + 1];
        double weights = 0;
        for (double errors = -MAX_STANDARD_ERRORS;
                errors <= MAX_STANDARD_ERRORS;
                errors += STANDARD_ERROR_STEP) {
            final double weight = Math.exp(-errors * errors / 2);
            final double share = FaultLikelihood.clampBaselineShare(baselineShare + errors * error);
            addBinomial(
                    probabilities, FaultLikelihood.shareWithFault(share, affectedShare), weight);
            weights += weight;
        }
        for (int count = 0; count <= answers; count++) {
            probabilities[count] /= weights;
        }
        return probabilities;
    }

    private static void addBinomial(
            final double[] probabilities, final double share, final double weight) {
        final int trials = probabilities.length - 1;
        double logProbability = trials * Math.log(1 - share);
        for (int count = 0; count <= trials; count++) {
            probabilities[count] += weight * Math.exp(logProbability);
            logProbability += Math.log(share / (1 - share) * (trials - count) / (count + 1));
        }
    }

    private static double[] convolve(final double[] first, final double[] second) {
        final double[] convolution = new double[first.length + second.length - 1];
        for (int one = 0; one < first.length; one++) {
            for (int two = 0; two < second.length; two++) {
                convolution[one + two] += first[one] * second[two];
            }
        }
        return convolution;
    }
}
