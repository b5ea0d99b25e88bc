package org.whinhead.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleFleetTest {

    private static final Duration CALM = Duration.ofSeconds(2);
    private static final Duration BURST = Duration.ofSeconds(3);

    private static BrittleFleet burst(
            final int daemons,
            final int endpoints,
            final int slots,
            final int survivedRejections,
            final boolean limited) {
        return new BrittleFleet(daemons, endpoints, slots, survivedRejections, limited, 1)
                .play(0.4, CALM)
                .play(1.6, BURST)
                .play(0.4, CALM);
    }

    // Guards against endpoints that fall over one after the other in a burst of requests: what one
    // has no room for is sent to the next, and those that are back are filled at once.
    @ParameterizedTest
    @CsvSource({"8, 3, 6, 5", "8, 3, 6, 1", "18, 6, 24, 5", "66, 42, 12, 5", "8, 6, 96, 5"})
    void fewEndpointsFallInBurst(
            final int daemons, final int endpoints, final int slots, final int survivedRejections) {
        final BrittleFleet without = burst(daemons, endpoints, slots, survivedRejections, false);
        final BrittleFleet with = burst(daemons, endpoints, slots, survivedRejections, true);
        final double allowedFalls = 2 + 0.1 * endpoints;
        assertThat((double) without.falls()).isGreaterThan(allowedFalls);
        assertThat((double) with.falls()).isLessThanOrEqualTo(allowedFalls);
        assertThat(with.served()).isGreaterThan(without.served());
    }

    // Guards against requests that are refused although the endpoints have room for them.
    @ParameterizedTest
    @CsvSource({"8, 3, 6", "18, 6, 24", "66, 3, 6", "66, 42, 12", "8, 6, 96"})
    void calmRequestsAreNotRefused(final int daemons, final int endpoints, final int slots) {
        final BrittleFleet calm =
                new BrittleFleet(daemons, endpoints, slots, 5, true, 1)
                        .play(0.2, Duration.ofSeconds(5));
        assertThat(calm.falls()).isZero();
        assertThat(calm.refusedWithRoomShare()).isLessThan(0.01);
    }
}
