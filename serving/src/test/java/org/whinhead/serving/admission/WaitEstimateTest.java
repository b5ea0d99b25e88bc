package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitEstimateTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant EARLIER = NOW.minusSeconds(1);
    private static final String ROUTE = "desk";

    private final ServiceTimes mTimes = new ServiceTimes();

    private static AdmissionRequest request(final int rank, final long left, final long cost) {
        return AdmissionRequest.builder("r-1", "pool", ROUTE)
                .rank(rank)
                .cost(Duration.ofMillis(cost))
                .usefulUntil(NOW.plusMillis(left))
                .build();
    }

    private WaitEstimate estimate(final boolean engine, final Integer... runningByRank) {
        return estimate(engine, Duration.ZERO, runningByRank);
    }

    private WaitEstimate estimate(
            final boolean engine, final Duration expected, final Integer... runningByRank) {
        return new WaitEstimate(
                mTimes,
                ServiceLoad.builder()
                        .endpoints(10, engine)
                        .requests(
                                RankCounts.of(List.of(runningByRank)),
                                RankCounts.NONE,
                                Duration.ZERO)
                        .expectedWait(expected)
                        .build(),
                NOW);
    }

    private void recordSlotTime() {
        mTimes.record(ROUTE, Duration.ofMillis(100), true, EARLIER);
    }

    // Guards against refusals by a daemon that has just started and knows no times.
    @Test
    void nothingIsTooLateWithoutTimes() {
        assertThat(estimate(false, 200).isTooLate(request(0, 50, 0))).isFalse();
    }

    @Test
    void queueAndOwnTimeCount() {
        recordSlotTime();
        // 20 requests ahead of 10 slots of 100 ms take 200 ms, and its own time is 100 ms.
        assertThat(estimate(false, 30).isTooLate(request(0, 290, 0))).isTrue();
        assertThat(estimate(false, 30).isTooLate(request(0, 310, 0))).isFalse();
        assertThat(estimate(false, 30).isTooLate(request(0, 310, 150))).isTrue();
    }

    // Guards against refusing urgent requests for the less urgent ones that an engine serves after
    // them.
    @Test
    void engineServesItsQueueByRank() {
        recordSlotTime();
        assertThat(estimate(true, 5, 25).isTooLate(request(0, 150, 0))).isFalse();
        assertThat(estimate(true, 5, 25).isTooLate(request(1, 150, 0))).isTrue();
        assertThat(estimate(false, 5, 25).isTooLate(request(0, 150, 0))).isTrue();
    }

    @Test
    void expectedWaitOfTheChooserCounts() {
        recordSlotTime();
        final Duration expected = Duration.ofMillis(400);
        assertThat(estimate(false, expected, 12).isTooLate(request(0, 300, 0))).isTrue();
        assertThat(estimate(false, expected, 12).isTooLate(request(0, 500, 0))).isFalse();
    }

    @Test
    void latestStartLeavesTheTimeWithoutQueue() {
        recordSlotTime();
        assertThat(estimate(false, 30).latestStart(request(0, 500, 0)))
                .isEqualTo(NOW.plusMillis(380));
    }

    // Guards against callers that come back seconds later, or at once, as nothing was measured.
    @Test
    void retryDelayIsBounded() {
        assertThat(estimate(false, 30).retryAfter(request(0, 500, 0), RankCounts.NONE))
                .isBetween(Duration.ofMillis(200), Duration.ofMillis(400));
        recordSlotTime();
        assertThat(estimate(false, 0).retryAfter(request(0, 500, 0), RankCounts.NONE))
                .isBetween(Duration.ofMillis(50), Duration.ofMillis(100));
        assertThat(estimate(false, 9_000).retryAfter(request(0, 500, 0), RankCounts.NONE))
                .isBetween(Duration.ofSeconds(3), Duration.ofSeconds(6));
    }
}
