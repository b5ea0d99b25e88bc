package org.whinhead.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.routing.Fixtures.START;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EndpointHealthTest {

    private static final HealthSettings SETTINGS =
            new HealthSettings(1, Duration.ofSeconds(1), 0.5, Duration.ofSeconds(10));

    private final EndpointHealth mHealth = new EndpointHealth(SETTINGS, new Random(7));

    // The success of a stream that began before the engine died can arrive after the failure of a
    // later request. It must not route new requests to the dead engine.
    @Test
    void staleSuccessDoesNotClearNewerFailure() {
        final long early = mHealth.dispatched(START);
        final long late = mHealth.dispatched(START);
        mHealth.failed(late, START);
        mHealth.succeeded(early);
        assertThat(mHealth.isSuspect()).isTrue();
        assertThat(mHealth.canDispatch(START)).isFalse();
    }

    // If all waiting requests were sent to a dead engine after its cooldown, all would fail.
    // So only one probes it. A lost outcome of the probe must not block the endpoint permanently.
    @Test
    void allowsOneProbeAndAnotherAfterTheProbeTimeout() {
        mHealth.failed(mHealth.dispatched(START), START);
        final Instant afterCooldown = START.plusMillis(1500);
        assertThat(mHealth.canDispatch(afterCooldown)).isTrue();
        mHealth.dispatched(afterCooldown);
        assertThat(mHealth.canDispatch(afterCooldown)).isFalse();
        assertThat(mHealth.canDispatch(afterCooldown.plus(SETTINGS.probeTimeout()))).isTrue();
    }

    // After an outage with many failed probes, an unbounded cooldown would exclude the recovered
    // engine for half a minute or more.
    @Test
    void cooldownDoublesUpToTheLongestCooldown() {
        Instant now = START;
        for (int i = 0; i < 10; i++) {
            mHealth.failed(mHealth.dispatched(now), now);
            now = now.plusSeconds(60);
        }
        final Instant last = now.minusSeconds(60);
        assertThat(mHealth.canDispatch(last.plus(SETTINGS.longestCooldown().dividedBy(2))))
                .isFalse();
        assertThat(mHealth.canDispatch(last.plusMillis(6000))).isTrue();
    }

    // When an engine dies, many of its streams fail after the first probe was sent. These failures
    // have the same cause, so the success of the probe must clear the endpoint at once.
    @Test
    void failuresOfEarlierDispatchesDoNotEndTheProbe() {
        final long first = mHealth.dispatched(START);
        final long second = mHealth.dispatched(START);
        mHealth.failed(first, START);
        final Instant afterCooldown = START.plusMillis(1500);
        final long probe = mHealth.dispatched(afterCooldown);
        mHealth.failed(second, afterCooldown);
        mHealth.succeeded(probe);
        assertThat(mHealth.isSuspect()).isFalse();
    }

    @Property(seed = "11", tries = 300)
    void suspectEndpointNeverHasTwoProbesWithinTheProbeTimeout(
            @ForAll @Size(max = 60) final List<@IntRange(max = 3) Integer> steps) {
        final EndpointHealth health = new EndpointHealth(SETTINGS, new Random(3));
        final Deque<Long> inFlight = new ArrayDeque<>();
        Instant now = START;
        Instant lastProbe = Instant.MIN;
        for (final int step : steps) {
            now = now.plusMillis(700);
            if (step < 2 && health.canDispatch(now)) {
                if (health.isSuspect()) {
                    assertThat(now).isAfterOrEqualTo(lastProbe);
                    lastProbe = now.plus(SETTINGS.probeTimeout());
                }
                inFlight.add(health.dispatched(now));
            } else if (step == 2 && !inFlight.isEmpty()) {
                health.succeeded(inFlight.removeLast());
            } else if (step == 3 && !inFlight.isEmpty()) {
                final boolean wasProbe = health.isSuspect() && inFlight.size() == 1;
                health.failed(inFlight.remove(), now);
                lastProbe = wasProbe ? Instant.MIN : lastProbe;
            }
            if (!health.isSuspect()) {
                lastProbe = Instant.MIN;
            }
        }
    }
}
