package org.whinhead.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.bench.engine.Cluster;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.EngineSettings;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.LoadReport;
import org.whinhead.routing.RoutingSettings;
import org.whinhead.routing.RoutingStrategy;

/** Measures routing decisions per second of one thread, in wall-clock time, over one pool. */
final class DecisionRate {

    static final int ENDPOINTS = 1800;

    private static final int REQUESTS = 8192;
    private static final int WARM_UP = 200_000;
    private static final int MEASURED = 400_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private DecisionRate() {}

    /** Returns decisions per second for conversations, whose prompts share prefixes. */
    static double measure(final RoutingStrategy strategy, final long seed) {
        return measure(strategy, seed, requests(seed));
    }

    /**
     * Returns decisions per second for requests without shared prefixes, so that none is cached.
     */
    static double measureWithoutSharedPrefixes(final RoutingStrategy strategy, final long seed) {
        final Random random = new Random(seed);
        final List<RequestSpec> requests = new ArrayList<>();
        for (final RequestSpec spec : requests(seed)) {
            final List<Long> prefixes = new ArrayList<>();
            spec.prefixHashes().forEach(hash -> prefixes.add(random.nextLong()));
            requests.add(
                    RequestSpec.builder(spec.id())
                            .customer(spec.customer())
                            .tier(spec.tier())
                            .model(Conversations.MODEL)
                            .prefixHashes(prefixes)
                            .promptTokens(spec.promptTokens())
                            .maxTokens(spec.maxTokens())
                            .arrived(spec.arrived())
                            .deadline(spec.deadline())
                            .build());
        }
        return measure(strategy, seed, requests);
    }

    private static double measure(
            final RoutingStrategy strategy, final long seed, final List<RequestSpec> requests) {
        final AffinityRouter router =
                new AffinityRouter(
                        RoutingSettings.of(Cluster.DOMAIN).withStrategy(strategy),
                        new Random(seed));
        router.endpointsChanged(Cluster.endpoints(ENDPOINTS));
        final Random random = new Random(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            final EndpointId id = new EndpointId("engine" + i);
            router.loadReported(
                    new LoadReport(id, Simulation.START, random.nextInt(16), 0, 0),
                    Simulation.START);
        }
        decide(router, requests, WARM_UP);
        final long start = System.nanoTime();
        decide(router, requests, MEASURED);
        return MEASURED * NANOS_PER_SECOND / (System.nanoTime() - start);
    }

    private static List<RequestSpec> requests(final long seed) {
        final Conversations conversations =
                new Conversations(seed, EngineSettings.DEFAULT.blockTokens());
        final List<RequestSpec> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(conversations.nextTurn(Simulation.START).spec());
        }
        return requests;
    }

    private static void decide(
            final AffinityRouter router, final List<RequestSpec> requests, final int count) {
        for (int i = 0; i < count; i++) {
            final RequestSpec spec = requests.get(i % REQUESTS);
            router.choose(spec, Set.of(), Simulation.START)
                    .ifPresent(
                            endpoint -> router.attemptEnded(endpoint.id(), spec, Simulation.START));
        }
    }
}
