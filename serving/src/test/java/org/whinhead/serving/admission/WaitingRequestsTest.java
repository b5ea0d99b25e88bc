package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final WaitingRequests mWaiting = new WaitingRequests();

    private static AdmissionRequest request(
            final String id, final int rank, final String customer, final double granted) {
        return request(id, rank, customer, granted, 100);
    }

    private static AdmissionRequest request(
            final String id,
            final int rank,
            final String customer,
            final double granted,
            final long cost) {
        return AdmissionRequest.builder(id, "pool", "desk")
                .rank(rank)
                .customer(customer, granted, "")
                .cost(Duration.ofMillis(cost))
                .usefulUntil(NOW.plusSeconds(5))
                .build();
    }

    private String placeNext() {
        final String next = mWaiting.inOrder().get(0).id();
        mWaiting.placed(next);
        return next;
    }

    @Test
    void mostUrgentRankIsNext() {
        mWaiting.add(request("usual", 1, "a", 1_000), NOW);
        assertThat(mWaiting.isNext(request("urgent", 0, "b", 1_000))).isTrue();
        mWaiting.add(request("urgent", 0, "b", 1_000), NOW);
        assertThat(mWaiting.isNext(request("usual", 1, "a", 1_000))).isFalse();
        assertThat(mWaiting.counts().total()).isEqualTo(2);
        assertThat(placeNext()).isEqualTo("urgent");
    }

    // Guards against a customer that floods: another one's few requests don't wait behind all of
    // its own.
    @Test
    void customersTakeTurns() {
        for (int index = 0; index < 10; index++) {
            mWaiting.add(request("hot" + index, 1, "hot", 1_000), NOW);
        }
        mWaiting.add(request("one", 1, "calm", 1_000), NOW);
        mWaiting.add(request("two", 1, "calm", 1_000), NOW);
        assertThat(placeNext()).isEqualTo("hot0");
        assertThat(placeNext()).isEqualTo("one");
        assertThat(placeNext()).isEqualTo("hot1");
        assertThat(placeNext()).isEqualTo("two");
    }

    @Test
    void customerWithTwiceTheGrantIsPlacedTwiceAsOften() {
        for (int index = 0; index < 30; index++) {
            mWaiting.add(request("large" + index, 1, "large", 2_000), NOW);
            mWaiting.add(request("small" + index, 1, "small", 1_000), NOW);
        }
        int large = 0;
        for (int placed = 0; placed < 30; placed++) {
            large += placeNext().startsWith("large") ? 1 : 0;
        }
        assertThat(large).isBetween(19, 21);
    }

    // Guards against starving large requests: one waits no longer than small ones of others.
    @Test
    void largeRequestIsNotPlacedLater() {
        mWaiting.add(request("small0", 1, "a", 1_000, 10), NOW);
        mWaiting.add(request("large", 1, "b", 1_000, 5_000), NOW);
        mWaiting.add(request("small1", 1, "a", 1_000, 10), NOW);
        assertThat(placeNext()).isEqualTo("small0");
        assertThat(placeNext()).isEqualTo("large");
    }

    // Guards against a customer that loses its turn, or gains others', as its allowance changes
    // while its request waits.
    @Test
    void requestKeepsWhatItsCustomerWasGranted() {
        mWaiting.add(request("one", 1, "a", 1_000), NOW);
        mWaiting.add(request("one", 1, "a", 1), NOW.plusMillis(20));
        assertThat(mWaiting.inOrder()).hasSize(1);
        assertThat(mWaiting.inOrder().get(0).granted()).isEqualTo(1_000);
        assertThat(mWaiting.add(request("one", 1, "a", 1), NOW).since()).isEqualTo(NOW);
    }

    @Test
    void withdrawnRequestIsForgotten() {
        mWaiting.add(request("one", 1, "a", 1_000), NOW);
        mWaiting.remove("one");
        mWaiting.remove("one");
        assertThat(mWaiting.counts().total()).isZero();
        assertThat(mWaiting.contains("one")).isFalse();
    }
}
