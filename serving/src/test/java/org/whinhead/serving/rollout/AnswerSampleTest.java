package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerSampleTest {

    private static final double HIT_PART = 0.4;
    private static final double MOST_CHANCE = 0.002;
    private static final long MANY = 1_000_000_000_000L;

    private static AnswerSample sample(final int answers, final int bad, final double usual) {
        return new AnswerSample(answers, bad, usual, MANY);
    }

    private static double chance(final AnswerSample... samples) {
        return AnswerSample.probabilityOfAtMost(List.of(samples), HIT_PART);
    }

    /** With a usual share of 0.05 a fault leaves 0.57 of the answers good. */
    @Test
    void chanceIsThatOfBinomialCounts() {
        assertThat(chance(sample(10, 0, 0.05))).isCloseTo(Math.pow(0.57, 10), within(1e-5));
        assertThat(chance(sample(10, 1, 0.05)))
                .isCloseTo(Math.pow(0.57, 10) + 10 * 0.43 * Math.pow(0.57, 9), within(1e-5));
        assertThat(chance(sample(10, 10, 0.05))).isCloseTo(1, within(1e-5));
    }

    @Test
    void samplesAreAddedUp() {
        assertThat(chance(sample(4, 0, 0.05), sample(6, 1, 0.05)))
                .isCloseTo(chance(sample(10, 1, 0.05)), within(1e-5));
    }

    @Test
    void nothingSeenRulesNothingOut() {
        assertThat(chance(sample(0, 0, 0.14))).isEqualTo(1);
    }

    /** A bad version would be completed on the word of a few answers of the old one. */
    @Test
    void usualShareOfSmallSampleIsTrustedLess() {
        final AnswerSample small = new AnswerSample(40, 12, 0.14, 20);

        assertThat(chance(small)).isGreaterThan(chance(sample(40, 12, 0.14)));
    }

    @Test
    void neededAnswersRuleFaultOut() {
        final int needed = sample(5, 0, 0.02).requiredAnswers(HIT_PART, MOST_CHANCE);

        assertThat(needed).isPositive();
        assertThat(sample(60, 0, 0.02).requiredAnswers(HIT_PART, MOST_CHANCE)).isZero();
    }

    /** A route that fails often anyway has to show more before a fault is told from that. */
    @Test
    void routeThatFailsOftenNeedsMore() {
        assertThat(sample(0, 0, 0.14).requiredAnswers(HIT_PART, MOST_CHANCE))
                .isGreaterThan(sample(0, 0, 0.02).requiredAnswers(HIT_PART, MOST_CHANCE));
    }

    @Test
    void moreBadAnswersThanUsualAreUnlikely() {
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 20, 0.05))))
                .isGreaterThan(0.4);
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 60, 0.05))))
                .isLessThan(1e-6);
        assertThat(AnswerSample.probabilityOfAtLeast(List.of(sample(400, 0, 0.05)))).isEqualTo(1);
    }
}
