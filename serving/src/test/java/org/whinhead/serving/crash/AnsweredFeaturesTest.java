package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class AnsweredFeaturesTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestFeature REQUEST = new RequestFeature(1, 2, 3);

    private final AnsweredFeatures mAnswered = new AnsweredFeatures();

    @Test
    void answerIsRememberedForHalfOfTheMinute() {
        mAnswered.add(REQUEST, START);
        assertThat(mAnswered.containsRecent(REQUEST, START.plusSeconds(29))).isTrue();
        assertThat(mAnswered.containsRecent(REQUEST, START.plusSeconds(30))).isFalse();
    }

    @Test
    void laterCrashOutweighsAnswer() {
        mAnswered.add(REQUEST, START);
        mAnswered.remove(REQUEST);
        assertThat(mAnswered.containsRecent(REQUEST, START)).isFalse();
    }

    @Test
    void oldestAnswersAreForgottenFirst() {
        mAnswered.add(REQUEST, START);
        for (int number = 0; number < 1_024; number++) {
            mAnswered.add(new RequestFeature(number, number, 9), START);
        }
        assertThat(mAnswered.containsRecent(REQUEST, START)).isFalse();
        assertThat(mAnswered.containsRecent(new RequestFeature(9, 9, 9), START)).isTrue();
    }
}
