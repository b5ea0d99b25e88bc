package org.whinhead.standins.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

final class WeightStoreSimulationTest {

    private static final Instant NOW = Instant.parse("2026-03-02T08:00:00Z");

    @Test
    void loadsSequentiallyAndRefusesLoadsBeyondLimit() {
        final WeightStoreSimulation store = new WeightStoreSimulation(100, 50, 2);
        assertThat(store.load(NOW)).contains(NOW.plusSeconds(2));
        assertThat(store.load(NOW.plusSeconds(1))).contains(NOW.plusSeconds(4));
        assertThat(store.load(NOW.plusSeconds(1))).isEmpty();
        assertThat(store.load(NOW.plusSeconds(2))).contains(NOW.plusSeconds(6));
    }
}
