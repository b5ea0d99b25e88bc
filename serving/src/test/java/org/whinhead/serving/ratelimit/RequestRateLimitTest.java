package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestRateLimitTest {

    @ParameterizedTest
    @CsvSource({"1, 1, 1000", "0.5, 1, 2000", "50, 1, 20", "1, 0.5, 2000", "4, 0.25, 1000"})
    void intervalKeepsToShareOfLimit(
            final double perSecond, final double share, final long millis) {
        assertThat(new RequestRateLimit(perSecond).interval(share))
                .isEqualTo(Duration.ofMillis(millis));
    }

    // Guards against an endpoint that takes nothing for good: nobody would learn that it takes
    // requests again.
    @ParameterizedTest
    @CsvSource({"0", "0.01", "0.2"})
    void endpointThatTakesNothingIsAskedNowAndThen(final double perSecond) {
        assertThat(new RequestRateLimit(perSecond).interval(1)).isEqualTo(Duration.ofSeconds(5));
    }

    @Test
    void largestLimitHasAnInterval() {
        assertThat(new RequestRateLimit(Double.MAX_VALUE).interval(1)).isPositive();
    }

    @ParameterizedTest
    @CsvSource({"-1", "NaN", "Infinity"})
    void rateMustBeFiniteNumberFromZero(final double perSecond) {
        assertThatThrownBy(() -> new RequestRateLimit(perSecond))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
