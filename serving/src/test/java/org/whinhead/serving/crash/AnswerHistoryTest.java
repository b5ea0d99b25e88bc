package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AnswerHistoryTest {

    // Guards against trials that crash more endpoints in a day than callers can be asked to bear.
    @Test
    void threeTrialsFitIntoOneDay() {
        assertThat(AnswerHistory.NONE.trialDelay(3)).isEqualTo(Duration.ofMinutes(1));
        assertThat(AnswerHistory.NONE.trialDelay(4)).isEqualTo(Duration.ofMinutes(15));
        assertThat(AnswerHistory.NONE.trialDelay(5)).isEqualTo(Duration.ofMinutes(225));
        assertThat(AnswerHistory.NONE.trialDelay(6)).isGreaterThan(Duration.ofDays(1));
    }

    @Test
    void pausesGrowUpToTwoDays() {
        assertThat(AnswerHistory.NONE.trialDelay(9)).isEqualTo(Duration.ofDays(2));
        assertThat(AnswerHistory.NONE.trialDelay(Integer.MAX_VALUE)).isEqualTo(Duration.ofDays(2));
    }

    // Guards against sound requests that are refused for a minute, as they were on endpoints that
    // crashed for other reasons.
    @Test
    void whatWasAnsweredBeforeIsTriedSoon() {
        assertThat(AnswerHistory.MANY.trialDelay(3)).isEqualTo(Duration.ofSeconds(5));
        assertThat(AnswerHistory.MANY.trialDelay(4)).isEqualTo(Duration.ofSeconds(15));
    }
}
