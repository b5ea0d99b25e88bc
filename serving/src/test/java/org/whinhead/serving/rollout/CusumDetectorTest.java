package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CusumDetectorTest {

    private static final double USUAL = 0.02;

    private final CusumDetector mTest = new CusumDetector();

    @Test
    void fewGoodAnswersShowNothing() {
        mTest.addAnswers(10, 0, USUAL);

        assertThat(mTest.isBad()).isFalse();
        assertThat(mTest.sum()).isZero();
    }

    /** A version that turns bad late must be found as fast as one that was bad from the start. */
    @Test
    void goodPastHidesNothing() {
        mTest.addAnswers(1_000, 0, USUAL);
        mTest.addAnswers(0, 5, USUAL);

        assertThat(mTest.isBad()).isTrue();
    }

    /** One route of the users fails one answer in seven at every version. */
    @Test
    void usualFailuresAreNotTheVersions() {
        for (int round = 0; round < 20; round++) {
            mTest.addAnswers(6, 1, 0.14);
        }

        assertThat(mTest.isBad()).isFalse();
    }
}
