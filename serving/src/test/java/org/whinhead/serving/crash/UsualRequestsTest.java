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
        mUsual.recordAnswer(7, START);
        assertThat(mUsual.contains(7, START.plusSeconds(29))).isTrue();
        assertThat(mUsual.contains(7, START.plusSeconds(30))).isFalse();
        assertThat(mUsual.contains(8, START)).isFalse();
    }

    // Guards against a common request that is forgotten because many others came only once.
    @Test
    void requestThatComesAgainIsKeptAmongManyOthers() {
        for (int other = 0; other < MANY; other++) {
            mUsual.recordAnswer(1_000 + other, START);
            mUsual.recordAnswer(7, START);
        }
        assertThat(mUsual.contains(7, START)).isTrue();
        assertThat(mUsual.contains(1_000, START)).isFalse();
    }
}
