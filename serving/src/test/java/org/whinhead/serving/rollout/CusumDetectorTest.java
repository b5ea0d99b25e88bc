package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CusumDetectorTest {

    private static final double BASELINE_SHARE = 0.02;

    private final CusumDetector mDetector = new CusumDetector();

    @Test
    void goodAnswersLeaveTheSumAtZero() {
        mDetector.addAnswers(10, 0, BASELINE_SHARE);

        assertThat(mDetector.isBad()).isFalse();
        assertThat(mDetector.sum()).isZero();
    }

    /** A version that turns bad late must be detected as fast as one bad from the start. */
    @Test
    void earlierGoodAnswersDoNotDelayDetection() {
        mDetector.addAnswers(1_000, 0, BASELINE_SHARE);
        mDetector.addAnswers(0, 5, BASELINE_SHARE);

        assertThat(mDetector.isBad()).isTrue();
    }

    /** Some routes fail one answer in seven at every version, which is no fault of the new one. */
    @Test
    void failuresAtTheBaselineRateAreNoFault() {
        for (int round = 0; round < 20; round++) {
            mDetector.addAnswers(6, 1, 0.14);
        }

        assertThat(mDetector.isBad()).isFalse();
    }
}
