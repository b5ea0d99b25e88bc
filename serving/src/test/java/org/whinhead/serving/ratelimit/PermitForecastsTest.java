package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PermitForecastsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PermitForecasts mForecasts = new PermitForecasts();

    @Test
    void permitIsDueFromTheTimeThatWasTold() {
        final Instant at = START.plusMillis(400);
        mForecasts.record("e-1", at, START);
        assertThat(mForecasts.isDue("e-1", at.minusMillis(1))).isFalse();
        assertThat(mForecasts.isDue("e-1", at)).isTrue();
        assertThat(mForecasts.timeLeft("e-1", START)).isEqualTo(Duration.ofMillis(400));
        assertThat(mForecasts.timeLeft("e-1", at)).isZero();
    }

    // Guards against a daemon that doesn't ask for minutes, as an owner that had a small share of
    // the limit has told it to.
    @Test
    void distantForecastIsTrustedForSecond() {
        mForecasts.record("e-1", START.plusSeconds(60), START);
        final Instant trustEnd = START.plus(PermitForecasts.MAX_TRUST_TIME);
        assertThat(mForecasts.isDue("e-1", trustEnd.minusMillis(1))).isFalse();
        assertThat(mForecasts.isDue("e-1", trustEnd)).isTrue();
        assertThat(mForecasts.timeLeft("e-1", trustEnd)).isEqualTo(Duration.ofSeconds(59));
    }

    @Test
    void endpointWithoutForecastIsDue() {
        mForecasts.record("e-1", START.plusSeconds(1), START);
        mForecasts.record("e-2", START.plusSeconds(1), START);
        mForecasts.record("e-3", START.plusSeconds(1), START);
        mForecasts.remove("e-1");
        mForecasts.retain(Set.of("e-3"));
        assertThat(mForecasts.isDue("e-1", START)).isTrue();
        assertThat(mForecasts.isDue("e-2", START)).isTrue();
        assertThat(mForecasts.isDue("e-3", START)).isFalse();
    }
}
