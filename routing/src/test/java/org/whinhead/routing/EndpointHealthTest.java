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

    // A caller's long stream began while the engine was well. The engine then dies and a second
    // request fails there. The first stream's end, buffered on the way, arrives after that failure:
    // it must not send the next callers to the dead engine.
    @Test
    void staleSuccessDoesNotClearNewerFailure() {
        final long early = mHealth.dispatched(START);
        final long late = mHealth.dispatched(START);
        mHealth.failed(late, START);
        mHealth.succeeded(early);
        assertThat(mHealth.isSuspect()).isTrue();
        assertThat(mHealth.canDispatch(START)).isFalse();
    }

    // Many callers wait when a dead engine's cooldown ends. Only one may try it: were all of them
    // sent there, all would fail. When the probe's answer is lost, another may try after a while.
    @Test
    void oneProbeOnlyAndLostProbeDoesNotCloseForGood() {
        mHealth.failed(mHealth.dispatched(START), START);
        final Instant cooled = START.plusMillis(1500);
        assertThat(mHealth.canDispatch(cooled)).isTrue();
        mHealth.dispatched(cooled);
        assertThat(mHealth.canDispatch(cooled)).isFalse();
        assertThat(mHealth.canDispatch(cooled.plus(SETTINGS.probeTimeout()))).isTrue();
    }

    // An engine is away for a minute and every probe fails. When it is back, callers must not wait
    // for half a minute more because the cooldown had doubled that often.
    @Test
    void cooldownDoublesUpToItsBound() {
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

    // An engine with many streams dies: all of them fail, most after the first probe has gone out.
    // They tell of the same death, so the probe's success opens the engine at once.
    @Test
    void failuresFromBeforeTheProbeDoNotCount() {
        final long first = mHealth.dispatched(START);
        final long second = mHealth.dispatched(START);
        mHealth.failed(first, START);
        final Instant cooled = START.plusMillis(1500);
        final long probe = mHealth.dispatched(cooled);
        mHealth.failed(second, cooled);
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
