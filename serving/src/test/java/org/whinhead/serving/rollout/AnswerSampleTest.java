package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerSampleTest {

    private static final double AFFECTED_SHARE = 0.4;
    private static final double MAX_MISS_PROBABILITY = 0.002;
    private static final long MANY = 1_000_000_000_000L;

    private static AnswerSample sample(
            final int answers, final int bad, final double baselineShare) {
        return new AnswerSample(answers, bad, baselineShare, MANY);
    }

    private static double missProbability(final AnswerSample... samples) {
        return AnswerSample.probabilityOfAtMost(List.of(samples), AFFECTED_SHARE);
    }

    /** With a baseline share of 0.05 a fault leaves 0.57 of the answers good. */
    @Test
    void probabilityIsBinomial() {
        assertThat(missProbability(sample(10, 0, 0.05)))
                .isCloseTo(Math.pow(0.57, 10), within(1e-5));
        assertThat(missProbability(sample(10, 1, 0.05)))
                .isCloseTo(Math.pow(0.57, 10) + 10 * 0.43 * Math.pow(0.57, 9), within(1e-5));
        assertThat(missProbability(sample(10, 10, 0.05))).isCloseTo(1, within(1e-5));
    }

    @Test
    void samplesAreAddedUp() {
        assertThat(missProbability(sample(4, 0, 0.05), sample(6, 1, 0.05)))
                .isCloseTo(missProbability(sample(10, 1, 0.05)), within(1e-5));
    }

    @Test
    void noAnswersRuleNoFaultOut() {
        assertThat(missProbability(sample(0, 0, 0.14))).isEqualTo(1);
    }

    /** Guards against completing a bad version on the baseline of a few old answers. */
    @Test
    void uncertainBaselineShareRaisesMissProbability() {
        final AnswerSample small = new AnswerSample(40, 12, 0.14, 20);

        assertThat(missProbability(small)).isGreaterThan(missProbability(sample(40, 12, 0.14)));
    }

    @Test
    void requiredAnswersRuleFaultOut() {
        final int required =
                sample(5, 0, 0.02).requiredAnswers(AFFECTED_SHARE, MAX_MISS_PROBABILITY);

        assertThat(required).isPositive();
        assertThat(sample(60, 0, 0.02).requiredAnswers(AFFECTED_SHARE, MAX_MISS_PROBABILITY))
                .isZero();
    }

    /** On a route that often fails at any version, a fault takes more answers to detect. */
    @Test
    void frequentlyFailingRouteRequiresMoreAnswers() {
        assertThat(sample(0, 0, 0.14).requiredAnswers(AFFECTED_SHARE, MAX_MISS_PROBABILITY))
                .isGreaterThan(
                        sample(0, 0, 0.02).requiredAnswers(AFFECTED_SHARE, MAX_MISS_PROBABILITY));
    }

    @Test
    void moreBadAnswersThanBaselineAreUnlikely() {
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 20, 0.05))))
                .isGreaterThan(0.4);
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 60, 0.05))))
                .isLessThan(1e-6);
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 0, 0.05)))).isEqualTo(1);
    }
}
