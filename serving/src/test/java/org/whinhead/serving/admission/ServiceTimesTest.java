package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServiceTimesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final String ROUTE = "desk";

    private final ServiceTimes mTimes = new ServiceTimes();

    private static ServiceLoad load(final int running, final Duration reportAge) {
        return ServiceLoad.builder()
                .endpoints(18, false)
                .requests(RankCounts.of(List.of(running)), RankCounts.NONE, reportAge)
                .build();
    }

    private void record(final int millis, final boolean slotsFree) {
        mTimes.record(ROUTE, Duration.ofMillis(millis), slotsFree, NOW);
    }

    @Test
    void timesWithQueueDoNotCountAsTimesOfSlots() {
        record(60, true);
        record(600, false);
        assertThat(mTimes.slotMillis()).hasValue(60);
        assertThat(mTimes.leastMillis(ROUTE)).isEqualTo(60);
        assertThat(mTimes.leastMillis("other")).isZero();
    }

    // Guards against refusing the short ones of a route: most requests take longer than the time
    // that the estimate settles at.
    @Test
    void leastTimeIsExceededByMostRequests() {
        for (int request = 0; request < 500; request++) {
            record(50 + request % 10 * 10, true);
        }
        assertThat(mTimes.leastMillis(ROUTE)).isBetween(50.0, 85.0);
    }

    @Test
    void rateOfEndingsIsBoundedByTheSlots() {
        assertThat(mTimes.endingsPerMilli(18, 40, NOW)).isEmpty();
        record(60, true);
        assertThat(mTimes.endingsPerMilli(18, 40, NOW)).hasValue(18.0 / 60);
        record(1_200, false);
        assertThat(mTimes.endingsPerMilli(18, 40, NOW).orElseThrow()).isLessThan(18.0 / 60);
    }

    // Guards against idle slots: reports are a second old, and answers already come as fast as
    // without a queue.
    @Test
    void fastAnswersShowFewerRequestsThanReported() {
        for (int request = 0; request < 20; request++) {
            record(60, true);
        }
        assertThat(mTimes.running(load(80, Duration.ofSeconds(1)), NOW)).isLessThan(30);
        assertThat(mTimes.running(load(80, Duration.ofSeconds(1)), NOW.plusSeconds(5)))
                .isEqualTo(80);
    }

    // Guards against taking endpoints that are slow for ones with a queue: nothing must wait while
    // their slots are free.
    @Test
    void slowAnswersShowNoMoreRequestsThanReported() {
        record(60, true);
        for (int request = 0; request < 20; request++) {
            record(300, false);
        }
        assertThat(mTimes.running(load(10, Duration.ofSeconds(1)), NOW)).isEqualTo(10);
    }

    // Guards against a flood of endpoints that reject: the reports still show free slots. A few
    // rejections may be those of one faulty endpoint.
    @Test
    void repeatedRejectionsShowFullEndpoints() {
        mTimes.recordRejection(NOW);
        mTimes.recordRejection(NOW);
        assertThat(mTimes.running(load(10, Duration.ofSeconds(1)), NOW)).isEqualTo(10);
        for (int rejection = 0; rejection < 6; rejection++) {
            mTimes.recordRejection(NOW);
        }
        assertThat(mTimes.running(load(10, Duration.ofSeconds(1)), NOW)).isGreaterThan(36);
        assertThat(mTimes.running(load(10, Duration.ofSeconds(1)), NOW.plusSeconds(2)))
                .isEqualTo(10);
    }

    @Test
    void shortestTimeIsOfTheLastMoments() {
        record(900, false);
        record(700, false);
        record(800, false);
        assertThat(mTimes.shortestLately(ROUTE, NOW)).contains(Duration.ofMillis(700));
        assertThat(mTimes.shortestLately(ROUTE, NOW.plusSeconds(1))).isEmpty();
    }
}
