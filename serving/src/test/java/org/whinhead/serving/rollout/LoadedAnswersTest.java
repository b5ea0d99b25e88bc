package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoadedAnswersTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final double SHARE = 0.1;

    private final LoadedAnswers mLoaded = new LoadedAnswers();

    @Test
    void noAnswerIsNoLoad() {
        assertThat(mLoaded.part(0)).isZero();
    }

    /** A version that fails under load only was completed on answers from before there was any. */
    @Test
    void answersOfTheStartAndTheTakeoverAreNotUnderLoad() {
        mLoaded.count(0, SHARE, START);
        mLoaded.count(10, SHARE, START.plusMillis(900));
        mLoaded.count(50, SHARE, START.plusMillis(5_000));
        mLoaded.count(80, 1, START.plusMillis(5_200));

        assertThat(mLoaded.part(80)).isEqualTo(0.5);
    }

    @Test
    void answersFromBeforeCountAsUnderLoad() {
        mLoaded.count(0, SHARE, START);
        mLoaded.count(10, SHARE, START.plusMillis(900));

        assertThat(mLoaded.part(40)).isEqualTo(0.75);
    }
}
