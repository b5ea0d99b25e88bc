package org.whinhead.serving.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.RequestRateLimit;
import org.whinhead.serving.ratelimit.StatedLimits;

class LimitedCapacityTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration BOOT_TIME = Duration.ofSeconds(5);
    private static final List<EndpointEntry> ENDPOINTS = List.of(entry("e-1"), entry("e-2"));

    private final StatedLimits mLimits = new StatedLimits();

    private static EndpointEntry entry(final String id) {
        return EndpointEntry.builder(
                        id, "pool", InetSocketAddress.createUnresolved("endpoint", 1), "domain-a")
                .build();
    }

    private void name(final double limit, final Instant at) {
        mLimits.recordAnswer(
                ENDPOINTS.get(0),
                limit < 0 ? Optional.empty() : Optional.of(new RequestRateLimit(limit)),
                at.minusMillis(1),
                at);
    }

    private int missing(final Instant now) {
        return LimitedCapacity.missingEndpoints(ENDPOINTS, mLimits, 10, BOOT_TIME, now);
    }

    @Test
    void endpointWithSmallLimitIsMissing() {
        name(1, START);
        assertThat(missing(START.plus(BOOT_TIME))).isOne();
    }

    @Test
    void endpointWithLimitNearItsUsualRateIsNotMissing() {
        name(5, START);
        assertThat(missing(START.plus(BOOT_TIME))).isZero();
    }

    // Guards against an order for each short limit, which is carried out after its end.
    @Test
    void limitCountsOnceItHasLastedForStartOfAnotherEndpoint() {
        name(1, START);
        assertThat(missing(START.plus(BOOT_TIME).minusMillis(1))).isZero();
    }

    @Test
    void endpointIsBackWithEndOfLimit() {
        name(1, START);
        name(-1, START.plusSeconds(9));
        assertThat(missing(START.plusSeconds(20))).isZero();
    }
}
