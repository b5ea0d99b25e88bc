package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerWorkTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final String SERVICE = "pool";

    private final PeerWork mPeers = new PeerWork();

    private static List<ServiceWork> work(final int running, final int waiting) {
        return List.of(
                new ServiceWork(
                        SERVICE,
                        RankCounts.of(List.of(running)),
                        RankCounts.of(List.of(0, waiting))));
    }

    @Test
    void reportReplacesTheEarlierOneOfItsDaemon() {
        mPeers.update("d1", work(4, 1), NOW);
        mPeers.update("d2", work(2, 0), NOW);
        mPeers.update("d1", work(1, 3), NOW);
        assertThat(mPeers.running(SERVICE).total()).isEqualTo(3);
        assertThat(mPeers.waiting(SERVICE).lessUrgentThan(0)).isEqualTo(3);
        mPeers.update("d1", List.of(), NOW);
        assertThat(mPeers.running(SERVICE).total()).isEqualTo(2);
        assertThat(mPeers.running("other").total()).isZero();
    }

    // Guards against refusals in a partition: what daemons reported before it must not count on.
    @Test
    void oldReportsCountAsNoRequests() {
        mPeers.update("d1", work(4, 1), NOW);
        mPeers.update("d2", work(2, 1), NOW.plusMillis(500));
        mPeers.expire(Duration.ofMillis(600), NOW.plusMillis(700));
        assertThat(mPeers.running(SERVICE).total()).isEqualTo(2);
        assertThat(mPeers.meanAge()).isEqualTo(Duration.ofMillis(200));
        mPeers.forget("d2");
        mPeers.expire(Duration.ofMillis(600), NOW.plusMillis(700));
        assertThat(mPeers.running(SERVICE).total()).isZero();
        assertThat(mPeers.waiting(SERVICE).total()).isZero();
        assertThat(mPeers.meanAge()).isZero();
    }
}
