package org.whinhead.serving.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Guards against a service that stays without endpoints: after any sequence of reclaims, shortages,
 * crashes and changes of the lease holder, it must have endpoints again within a bounded time.
 */
class CapacityRecoveryTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final List<String> DOMAINS = List.of("a", "b", "c");
    private static final int BOOT_SECONDS = 4;

    /** The time of an order, its start and the retry delay of a refused one. */
    private static final int BOUND_SECONDS = 3 * BOOT_SECONDS;

    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    "pool",
                    "/health",
                    500,
                    true,
                    Optional.empty(),
                    Optional.of(
                            new ScalingLimits(
                                    1,
                                    4,
                                    Duration.ofSeconds(BOOT_SECONDS),
                                    0.22,
                                    Map.of("a", 0.85, "b", 1.2, "c", 1.0))));

    /** Simulates a cloud that starts endpoints after a delay and reclaims whole domains. */
    private static final class Cloud {
        private final List<EndpointEntry> mListed = new ArrayList<>();
        private final Map<EndpointEntry, Integer> mStarting = new HashMap<>();
        private boolean mOutOfStock;
        private int mNextId;

        private void start(final String domain, final boolean reclaimable, final int ready) {
            mNextId++;
            mStarting.put(
                    EndpointEntry.builder(
                                    "e" + mNextId,
                                    "pool",
                                    new InetSocketAddress("127.0.0.1", 9000),
                                    domain)
                            .slots(64)
                            .reclaimable(reclaimable)
                            .build(),
                    ready);
        }

        private boolean take(final CapacityOrder order, final int second) {
            final long existing =
                    mListed.stream().filter(endpoint -> matches(endpoint, order)).count()
                            + mStarting.keySet().stream()
                                    .filter(endpoint -> matches(endpoint, order))
                                    .count();
            if (order.count() > existing && order.reclaimable() && mOutOfStock) {
                return false;
            }
            for (long index = existing; index < order.count(); index++) {
                start(order.domain(), order.reclaimable(), second + BOOT_SECONDS);
            }
            for (long index = existing; index > order.count(); index--) {
                mListed.stream()
                        .filter(endpoint -> matches(endpoint, order))
                        .findFirst()
                        .ifPresent(mListed::remove);
            }
            return true;
        }

        private static boolean matches(final EndpointEntry endpoint, final CapacityOrder order) {
            return endpoint.domain().equals(order.domain())
                    && endpoint.reclaimable() == order.reclaimable();
        }

        private void advance(final int second) {
            final List<EndpointEntry> up =
                    mStarting.entrySet().stream()
                            .filter(entry -> entry.getValue() <= second)
                            .map(Map.Entry::getKey)
                            .toList();
            mListed.addAll(up);
            up.forEach(mStarting::remove);
        }

        private void lose(final String domain, final boolean alsoOnDemand) {
            mListed.removeIf(
                    endpoint ->
                            endpoint.domain().equals(domain)
                                    && (alsoOnDemand || endpoint.reclaimable()));
        }
    }

    private static CapacityPlanner planner() {
        return new CapacityPlanner(
                CapacitySettings.builder().loadPart(1).reserve(2).surviving(1, 1).build());
    }

    private static void simulateSecond(
            final CapacityPlanner planner,
            final Cloud cloud,
            final OptionalDouble demand,
            final int second) {
        cloud.advance(second);
        for (final CapacityOrder order :
                planner.plan(
                        SERVICE,
                        cloud.mListed,
                        new CapacityPlanner.Load(demand, 0, 25_000),
                        START.plusSeconds(second))) {
            planner.recordAnswer(order, cloud.take(order, second));
        }
    }

    @Property(tries = 300)
    void serviceRecoversFromAnyState(
            @ForAll final long seed,
            @ForAll @IntRange(min = 0, max = 40) final int troubledSeconds,
            @ForAll @DoubleRange(min = 1_000, max = 250_000) final double tokensPerSecond,
            @ForAll final boolean outOfStockAtTheEnd) {
        final Random random = new Random(seed);
        final Cloud cloud = new Cloud();
        DOMAINS.forEach(domain -> cloud.start(domain, false, 0));
        CapacityPlanner planner = planner();
        for (int second = 0; second < troubledSeconds; second++) {
            final int event = random.nextInt(12);
            if (event < DOMAINS.size()) {
                cloud.lose(DOMAINS.get(event), random.nextInt(4) == 0);
            } else if (event == 3) {
                cloud.mOutOfStock = !cloud.mOutOfStock;
            } else if (event == 4) {
                planner = planner();
            }
            final boolean holderMissing = event == 5;
            if (!holderMissing) {
                simulateSecond(planner, cloud, demand(random, tokensPerSecond), second);
            }
        }
        cloud.mOutOfStock = outOfStockAtTheEnd;
        DOMAINS.forEach(domain -> cloud.lose(domain, true));
        final CapacityPlanner last = random.nextBoolean() ? planner : planner();
        final int end = troubledSeconds + BOUND_SECONDS;
        for (int second = troubledSeconds; second <= end; second++) {
            simulateSecond(last, cloud, demand(random, tokensPerSecond), second);
        }
        assertThat(cloud.mListed).isNotEmpty();
    }

    /** A holder that has just taken over doesn't know the demand yet. */
    private static OptionalDouble demand(final Random random, final double tokensPerSecond) {
        return random.nextInt(3) == 0 ? OptionalDouble.empty() : OptionalDouble.of(tokensPerSecond);
    }
}
