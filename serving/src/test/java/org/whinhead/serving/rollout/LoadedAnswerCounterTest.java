package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoadedAnswerCounterTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final double SHARE = 0.1;

    private final LoadedAnswerCounter mLoaded = new LoadedAnswerCounter();

    @Test
    void noAnswerIsNoLoad() {
        assertThat(mLoaded.loadedShare(0)).isZero();
    }

    /** A version that fails under load only was completed on answers from before there was any. */
    @Test
    void answersOfTheStartAndTheTakeoverAreNotUnderLoad() {
        mLoaded.update(0, SHARE, START);
        mLoaded.update(10, SHARE, START.plusMillis(900));
        mLoaded.update(50, SHARE, START.plusMillis(5_000));
        mLoaded.update(80, 1, START.plusMillis(5_200));

        assertThat(mLoaded.loadedShare(80)).isEqualTo(0.5);
    }

    @Test
    void answersFromBeforeCountAsUnderLoad() {
        mLoaded.update(0, SHARE, START);
        mLoaded.update(10, SHARE, START.plusMillis(900));

        assertThat(mLoaded.loadedShare(40)).isEqualTo(0.75);
    }
}
