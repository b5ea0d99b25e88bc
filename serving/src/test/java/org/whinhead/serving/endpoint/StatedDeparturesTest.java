package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StatedDeparturesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointStart FIRST = new EndpointStart("e1", Optional.of(NOW), "v1");

    private final StatedDepartures mDepartures = new StatedDepartures();

    @Test
    void departureIsNewOnce() {
        assertThat(mDepartures.contains(FIRST)).isFalse();
        assertThat(mDepartures.add(FIRST, NOW)).isTrue();
        assertThat(mDepartures.add(FIRST, NOW.plusMillis(100))).isFalse();
        assertThat(mDepartures.knownFor(FIRST, NOW.plusMillis(300)))
                .contains(Duration.ofMillis(300));
    }

    @Test
    void nextStartIsFreeOfIt() {
        mDepartures.add(FIRST, NOW);
        assertThat(mDepartures.contains(new EndpointStart("e1", Optional.of(NOW), "v2"))).isFalse();
        assertThat(
                        mDepartures.contains(
                                new EndpointStart("e1", Optional.of(NOW.plusSeconds(1)), "v1")))
                .isFalse();
    }

    @Test
    void oldestDeparturesAreForgotten() {
        for (int number = 0; number < 5_000; number++) {
            mDepartures.add(new EndpointStart("e" + number, Optional.empty(), "v1"), NOW);
        }
        assertThat(mDepartures.contains(new EndpointStart("e0", Optional.empty(), "v1"))).isFalse();
        assertThat(mDepartures.contains(new EndpointStart("e4999", Optional.empty(), "v1")))
                .isTrue();
    }
}
