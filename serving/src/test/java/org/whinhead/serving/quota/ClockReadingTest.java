package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ClockReadingTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ClockReading EARLIER = new ClockReading(START, START);

    @Test
    void elapsedTimeIsLongerOfBothClocks() {
        final ClockReading suspended = new ClockReading(START.plusSeconds(1), START.plusSeconds(6));
        final ClockReading setBack =
                new ClockReading(START.plusSeconds(2), START.minusSeconds(3_600));
        assertThat(suspended.elapsedSince(EARLIER)).isEqualTo(Duration.ofSeconds(6));
        assertThat(setBack.elapsedSince(EARLIER)).isEqualTo(Duration.ofSeconds(2));
    }
}
