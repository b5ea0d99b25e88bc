package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ServiceStateTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WITHIN = Duration.ofMillis(250);

    private final ServiceState mState = new ServiceState();

    // Guards against a place that is handed on though nobody waits: the next request that waits
    // would leave at once.
    @Test
    void endOfRequestFreesPlaceOnlyForWaitingOnes() {
        mState.started(1);
        mState.ended(1);
        mState.pace().start(0, NOW);
        assertThat(mState.pace().take()).isFalse();
        mState.waiting()
                .add(
                        AdmissionRequest.builder("a", "pool", "desk")
                                .usefulUntil(NOW.plusSeconds(1))
                                .build(),
                        NOW);
        mState.started(1);
        mState.ended(1);
        assertThat(mState.pace().take()).isTrue();
        assertThat(mState.running().total()).isZero();
    }

    @Test
    void refusalsOfMoreUrgentRanksAreRemembered() {
        mState.refused(1, NOW);
        assertThat(mState.hasRefusedMoreUrgent(2, WITHIN, NOW.plusMillis(100))).isTrue();
        assertThat(mState.hasRefusedMoreUrgent(1, WITHIN, NOW.plusMillis(100))).isFalse();
        assertThat(mState.hasRefusedMoreUrgent(2, WITHIN, NOW.plusMillis(300))).isFalse();
    }
}
