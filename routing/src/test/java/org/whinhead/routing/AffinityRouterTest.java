package org.whinhead.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.routing.Fixtures.MODEL;
import static org.whinhead.routing.Fixtures.START;
import static org.whinhead.routing.Fixtures.engine;
import static org.whinhead.routing.Fixtures.engines;
import static org.whinhead.routing.Fixtures.id;
import static org.whinhead.routing.Fixtures.longRequest;
import static org.whinhead.routing.Fixtures.nonIdempotentRequest;
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

    // Fifty daemons have the same report of one idle engine. By least reported load all fifty send
    // a request there at once, and all but one wait although other engines have slots.
    @Test
    void routersWithTheSameStaleReportDoNotHerd() {
        assertThat(maxSentToOneEndpoint(RoutingStrategy.LEAST_REPORTED_LOAD)).isEqualTo(50);
        assertThat(maxSentToOneEndpoint(RoutingStrategy.AFFINITY)).isLessThan(15);
    }

    private static int maxSentToOneEndpoint(final RoutingStrategy strategy) {
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

    // Two engines' reports of five and six requests, all of other daemons, are two seconds old. If
    // this daemon's sends since then were not added, all of them would go to the first engine and
    // wait there while the second engine has free slots.
    @Test
    void ownSendsAreAddedToStaleReport() {
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
    void conversationStaysOnItsEngineAndDaemonsAgreeOnTheEngine() {
        final AffinityRouter one = router(RoutingStrategy.AFFINITY, 12, 1);
        final AffinityRouter two = router(RoutingStrategy.AFFINITY, 12, 2);
        final EndpointId first = chosen(one, request(1L, 2L, 3L, 4L));
        assertThat(chosen(one, request(1L, 2L, 3L, 4L, 5L, 6L))).isEqualTo(first);
        assertThat(chosen(two, request(1L, 2L, 3L, 4L, 9L))).isEqualTo(first);
    }

    // The prefill of a long prompt costs seconds, so without a bound a prompt shared by many
    // requests fills its engine far beyond the others, and all these requests wait.
    @Test
    void hotPrefixFillsItsEngineOnlyToTheLoadBound() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 12, 1);
        final Map<EndpointId, Integer> sent = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            sent.merge(chosen(router, longRequest(1L, 2L, 3L, 4L)), 1, Integer::sum);
        }
        final int bound = (int) Math.ceil(1.25 * 121 / 12);
        assertThat(sent.values()).allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(bound));
    }

    // After a notice the stale VM list still shows the leaving engines as live. A request routed to
    // such an engine loses its stream seconds later.
    @Property(seed = "5", tries = 200)
    void leavingEndpointIsNeverChosen(
            @ForAll @Size(min = 1, max = 30) final List<@IntRange(max = 7) Integer> steps) {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 8, 4);
        final Set<EndpointId> leaving = new HashSet<>();
        for (final int step : steps) {
            if (step < 3) {
                router.endpointLeaving(id(step));
                leaving.add(id(step));
            } else if (step == 3) {
                router.endpointsChanged(engines(8));
            } else if (step == 4) {
                router.endpointRemoved(id(0));
                router.endpointChanged(engine(0, Fixtures.GASABO));
            }
            for (long prefix = 0; prefix < 8; prefix++) {
                assertThat(leaving).doesNotContain(chosen(router, request(prefix)));
            }
        }
    }

    // A suspect endpoint may still fail the request that probes it after the cooldown. So only an
    // idempotent request may probe it while healthy engines exist.
    @Test
    void suspectEndpointIsExcludedAndProbedByIdempotentRequestsOnly() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 2, 1);
        final EndpointId failed = failTwice(router);
        for (int i = 0; i < 10; i++) {
            assertThat(chosen(router, request(1L))).isNotEqualTo(failed);
        }
        final Instant cooled = START.plusSeconds(5);
        for (int i = 0; i < 10; i++) {
            assertThat(router.choose(nonIdempotentRequest(1L), Set.of(), cooled).orElseThrow().id())
                    .isNotEqualTo(failed);
        }
        final Set<EndpointId> notFailed = Set.of(failed.equals(id(0)) ? id(1) : id(0));
        final RequestSpec probe = request(1L);
        assertThat(router.choose(probe, notFailed, cooled)).isPresent();
        assertThat(router.choose(request(1L), notFailed, cooled)).isEmpty();
        router.attemptSucceeded(failed, probe, cooled);
        assertThat(router.choose(request(1L), notFailed, cooled)).isPresent();
    }

    private static EndpointId failTwice(final AffinityRouter router) {
        EndpointId failed = null;
        for (int i = 0; i < 2; i++) {
            final RequestSpec spec = request(1L);
            failed = chosen(router, spec);
            router.attemptFailed(failed, spec, START);
            router.attemptEnded(failed, spec, START);
        }
        return failed;
    }

    // An endpoint is removed from the list and added again while a request runs on it. The end of
    // that request, or an end reported twice, must not understate the endpoint's load.
    @Test
    void endFromBeforeRemovalOrReportedTwiceIsCountedOnce() {
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
    void choosesOnlyEndpointsOfTheSameVersionAndAdapter() {
        final AffinityRouter router = router(RoutingStrategy.AFFINITY, 3, 1);
        final ModelRef adapted = ModelRef.parse(MODEL + "+bailiff");
        final Endpoint adaptedEngine =
                engine(9, Fixtures.GASABO).toBuilder().models(Set.of(adapted)).build();
        router.endpointChanged(adaptedEngine);
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
