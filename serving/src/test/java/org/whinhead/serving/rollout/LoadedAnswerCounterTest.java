package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoadedAnswerCounterTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final double SHARE = 0.1;

    private final LoadedAnswerCounter mCounter = new LoadedAnswerCounter();

    @Test
    void loadedShareWithoutAnswersIsZero() {
        assertThat(mCounter.loadedShare(0)).isZero();
    }

    /** Guards against completing a version on answers from before it was under load. */
    @Test
    void answersOfRampUpAndTakeoverAreNotUnderLoad() {
        mCounter.update(0, SHARE, START);
        mCounter.update(10, SHARE, START.plusMillis(900));
        mCounter.update(50, SHARE, START.plusMillis(5_000));
        mCounter.update(80, 1, START.plusMillis(5_200));

        assertThat(mCounter.loadedShare(80)).isEqualTo(0.5);
    }

    @Test
    void answersBeforeThisHolderCountAsUnderLoad() {
        mCounter.update(0, SHARE, START);
        mCounter.update(10, SHARE, START.plusMillis(900));

        assertThat(mCounter.loadedShare(40)).isEqualTo(0.75);
    }
}
