package org.whinhead.gateway.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoopLagTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration INTERVAL = Duration.ofMillis(200);

    private final LoopLag mLag = new LoopLag(INTERVAL, START);

    @Test
    void loopInTimeHasNone() {
        for (int step = 1; step < 10; step++) {
            mLag.taskRan(START.plusMillis(step * 200L));
            assertThat(mLag.lagAt(START.plusMillis(step * 200L + 100))).isZero();
        }
    }

    // An endpoint works for a caller that gave up 0.6 s before. The daemon had stood still for 1.3
    // s;
    // the request waited in its socket all the while, and its second was counted from its reading.
    @Test
    void whatIsReadByLoopThatStoodStillIsAsOldAsItIsLate() {
        mLag.taskRan(START.plusMillis(200));
        assertThat(mLag.lagAt(START.plusMillis(1_700))).isEqualTo(Duration.ofMillis(1_300));
        mLag.taskRan(START.plusMillis(1_700));
        assertThat(mLag.lagAt(START.plusMillis(1_710))).isEqualTo(Duration.ofMillis(1_300));
    }

    @Test
    void lagIsForgottenOnceTheLoopHasCaughtUp() {
        mLag.taskRan(START.plusMillis(1_700));
        mLag.taskRan(START.plusMillis(1_900));
        assertThat(mLag.lagAt(START.plusMillis(1_950))).isZero();
    }
}
