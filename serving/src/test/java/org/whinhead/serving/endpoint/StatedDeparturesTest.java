package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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

    // Guards against a daemon that starts, or was cut off, and never hears of some departures.
    @Test
    void recentDeparturesAreReportedInTurn() {
        for (int number = 0; number < 5; number++) {
            mDepartures.add(new EndpointStart("e" + number, Optional.empty(), "v1"), NOW);
        }
        final Set<EndpointStart> reported = new HashSet<>();
        for (int report = 0; report < 3; report++) {
            final List<EndpointStart> next = mDepartures.nextReported(2, NOW.plusSeconds(1));
            assertThat(next).hasSize(2);
            reported.addAll(next);
        }
        assertThat(reported).hasSize(5);
        assertThat(mDepartures.nextReported(2, NOW.plusSeconds(61))).isEmpty();
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
