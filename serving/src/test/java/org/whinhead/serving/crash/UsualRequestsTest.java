package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class UsualRequestsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int MANY = 9_000;

    private final UsualRequests mUsual = new UsualRequests();

    @Test
    void answeredRequestIsRememberedForItsTime() {
        for (int answer = 0; answer < 3; answer++) {
            mUsual.recordAnswer(7, START);
        }
        assertThat(mUsual.history(7, START.plusSeconds(29))).isEqualTo(AnswerHistory.MANY);
        assertThat(mUsual.history(7, START.plusSeconds(30))).isEqualTo(AnswerHistory.NONE);
        assertThat(mUsual.history(8, START)).isEqualTo(AnswerHistory.NONE);
    }

    // Guards against a request that crashes most endpoints being taken for an innocent one because
    // one of them has answered it.
    @Test
    void requestThatIsAnsweredAtTimesIsNotUsual() {
        mUsual.recordAnswer(7, START);
        mUsual.recordAnswer(7, START.plusSeconds(1));
        assertThat(mUsual.history(7, START.plusSeconds(2))).isEqualTo(AnswerHistory.SOME);
        mUsual.recordAnswer(7, START.plusSeconds(40));
        assertThat(mUsual.history(7, START.plusSeconds(41))).isEqualTo(AnswerHistory.SOME);
    }

    // Guards against a common request that is forgotten because many others came only once.
    @Test
    void requestThatComesAgainIsKeptAmongManyOthers() {
        for (int other = 0; other < MANY; other++) {
            mUsual.recordAnswer(1_000 + other, START);
            mUsual.recordAnswer(7, START);
        }
        assertThat(mUsual.history(7, START)).isEqualTo(AnswerHistory.MANY);
        assertThat(mUsual.history(1_000, START)).isEqualTo(AnswerHistory.NONE);
    }
}
