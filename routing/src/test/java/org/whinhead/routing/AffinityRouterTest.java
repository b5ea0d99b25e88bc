package org.whinhead.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.routing.Fixtures.MODEL;
import static org.whinhead.routing.Fixtures.START;
import static org.whinhead.routing.Fixtures.engine;
import static org.whinhead.routing.Fixtures.engines;
import static org.whinhead.routing.Fixtures.id;
import static org.whinhead.routing.Fixtures.longRequest;
import static org.whinhead.routing.Fixtures.onceOnly;
import static org.whinhead.routing.Fixtures.request;
import static org.whinhead.routing.Fixtures.router;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.request.RequestSpec;

class AffinityRouterTest {

    // Fifty daemons hold the same report: one engine idle, the others busy. By least reported load
    // all fifty send there at once and the caller who thought it idle waits behind forty-nine.
    @Test
    void manyRoutersWithOneStaleReportDoNotHerd() {
        assertThat(mostSentToOne(RoutingStrategy.LEAST_REPORTED_LOAD)).isEqualTo(50);
        assertThat(mostSentToOne(RoutingStrategy.AFFINITY)).isLessThan(15);
    }

    private static int mostSentToOne(final RoutingStrategy strategy) {
        final Map<EndpointId, Integer> sent = new HashMap<>();
        for (int daemon = 0; daemon < 50; daemon++) {
            final AffinityRouter router = router(strategy, 20, daemon);
            for (int i = 0; i < 20; i++) {
                final LoadReport report = new LoadReport(id(i), START, i == 0 ? 0 : 4, 0, 100);
                router.loadReported(report, START);
            }
            sent.merge(chosen(router, request()), 1, Integer::sum);
        }
        return sent.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    }

    // Two engines' reports say five and six requests, all of other daemons, and are two seconds
    // old.
    // This daemon's own sends since then must count on top, or all of them go to the first engine
    // and its callers wait for a slot while the second has some.
    @Test
    void ownSendsCountOnTopOfStaleReport() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 2, 1);
        for (int i = 0; i < 2; i++) {
            router.loadReported(new LoadReport(id(i), START.minusSeconds(2), 5 + i, 0, 0), START);
        }
        final Map<EndpointId, Integer> sent = new HashMap<>();
        for (int i = 0; i < 9; i++) {
            sent.merge(chosen(router, request()), 1, Integer::sum);
        }
        assertThat(sent).containsEntry(id(0), 5).containsEntry(id(1), 4);
    }

    @Test
    void conversationStaysWithItsEngineAndDaemonsAgreeOnNewOnes() {
        final AffinityRouter one = router(RoutingStrategy.AFFINITY, 12, 1);
        final AffinityRouter two = router(RoutingStrategy.AFFINITY, 12, 2);
        final EndpointId home = chosen(one, request(1L, 2L, 3L, 4L));
        assertThat(chosen(one, request(1L, 2L, 3L, 4L, 5L, 6L))).isEqualTo(home);
        assertThat(chosen(two, request(1L, 2L, 3L, 4L, 9L))).isEqualTo(home);
    }

    // One application's long prompt becomes hot. To compute it anew costs seconds, so its engine
    // fills up far beyond the others, and every caller of that application waits.
    @Test
    void hotPrefixFillsItsEngineOnlyToTheBound() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 12, 1);
        final Map<EndpointId, Integer> sent = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            sent.merge(chosen(router, longRequest(1L, 2L, 3L, 4L)), 1, Integer::sum);
        }
        final int bound = (int) Math.ceil(1.25 * 121 / 12);
        assertThat(sent.values()).allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(bound));
    }

    // A zone is reclaimed: notices name its engines, but the lagging VM list still calls them live
    // and is read again and again. A caller sent there now loses its stream seconds later.
    @Property(seed = "5", tries = 200)
    void leavingEndpointIsNeverChosen(
            @ForAll @Size(min = 1, max = 30) final List<@IntRange(max = 7) Integer> steps) {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 8, 4);
        final Set<EndpointId> left = new HashSet<>();
        for (final int step : steps) {
            if (step < 3) {
                router.endpointLeaving(id(step));
                left.add(id(step));
            } else if (step == 3) {
                router.endpointsChanged(engines(8));
            } else if (step == 4) {
                router.endpointRemoved(id(0));
                router.endpointChanged(engine(0, Fixtures.GASABO));
            }
            for (long prefix = 0; prefix < 8; prefix++) {
                assertThat(left).doesNotContain(chosen(router, request(prefix)));
            }
        }
    }

    // An engine dies and its endpoint turns suspect; after the cooldown one request probes it. Only
    // one that may be repeated is risked as long as healthy engines are there.
    @Test
    void suspectEndpointIsShutOutAndProbedByAnIdempotentRequestOnly() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 2, 1);
        final EndpointId dead = failTwice(router);
        for (int i = 0; i < 10; i++) {
            assertThat(chosen(router, request(1L))).isNotEqualTo(dead);
        }
        final Instant cooled = START.plusSeconds(5);
        for (int i = 0; i < 10; i++) {
            assertThat(router.choose(onceOnly(1L), Set.of(), cooled).orElseThrow().id())
                    .isNotEqualTo(dead);
        }
        final Set<EndpointId> other = Set.of(dead.equals(id(0)) ? id(1) : id(0));
        final RequestSpec probe = request(1L);
        assertThat(router.choose(probe, other, cooled)).isPresent();
        assertThat(router.choose(request(1L), other, cooled)).isEmpty();
        router.attemptSucceeded(dead, probe, cooled);
        assertThat(router.choose(request(1L), other, cooled)).isPresent();
    }

    private static EndpointId failTwice(final AffinityRouter router) {
        EndpointId dead = null;
        for (int i = 0; i < 2; i++) {
            final RequestSpec spec = request(1L);
            dead = chosen(router, spec);
            router.attemptFailed(dead, spec, START);
            router.attemptEnded(dead, spec, START);
        }
        return dead;
    }

    // An endpoint falls out of the lagging list and comes back while a request runs on it. That
    // request's end, told twice, must not make the endpoint look emptier than it is.
    @Test
    void endOfAnEarlierLifeOrToldTwiceIsCountedOnce() {
        final AffinityRouter router = router(RoutingStrategy.LEAST_REPORTED_LOAD, 1, 1);
        final RequestSpec early = request();
        router.choose(early, Set.of(), START);
        router.endpointsChanged(List.of());
        assertThat(router.choose(request(), Set.of(), START)).isEmpty();
        router.endpointsChanged(engines(1));
        final RequestSpec late = request();
        router.choose(late, Set.of(), START);
        router.attemptEnded(id(0), early, START);
        assertThat(router.inFlightAt(id(0))).isEqualTo(1);
        router.attemptEnded(id(0), late, START);
        router.attemptEnded(id(0), late, START);
        assertThat(router.inFlightAt(id(0))).isZero();
    }

    @Test
    void onlyTheSameVersionAndAdapterFits() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 3, 1);
        final ModelRef adapted = ModelRef.parse(MODEL + "+bailiff");
        final Endpoint fit = engine(9, Fixtures.GASABO).toBuilder().models(Set.of(adapted)).build();
        router.endpointChanged(fit);
        final RequestSpec spec =
                RequestSpec.builder(request().id())
                        .customer(request().customer())
                        .tier(request().tier())
                        .model(adapted)
                        .arrived(START)
                        .deadline(START)
                        .build();
        assertThat(chosen(router, spec)).isEqualTo(id(9));
        assertThat(chosen(router, request())).isNotEqualTo(id(9));
    }

    private static EndpointId chosen(final AffinityRouter router, final RequestSpec spec) {
        return router.choose(spec, Set.of(), START).orElseThrow().id();
    }
}
