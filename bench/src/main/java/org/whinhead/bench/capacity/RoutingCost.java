package org.whinhead.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.CacheEvent;
import org.whinhead.routing.LoadReport;
import org.whinhead.routing.RoutingSettings;

/** Measures routing decisions, load reports, endpoint lists, cache events, and router memory. */
public final class RoutingCost extends RoleCost {

    private static final int[] ENDPOINT_COUNTS = {60, 300, 900, 1800};
    private static final int[] BLOCK_COUNTS = {0, 16_384, 32_768, 65_536};
    private static final int REQUESTS = 4_096;
    private static final int EVENTS_PER_CALL = 1_000;

    @Override
    public String name() {
        return "capacity-routing";
    }

    @Override
    public String description() {
        return "CPU and memory of routing by endpoints";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series decision = new Series("choose and end", "endpoints", "ns a decision");
        final Series report = new Series("load report taken in", "endpoints", "ns a report");
        final Series memory = new Series("router's memory", "endpoints", "bytes");
        final Series update = new Series("whole list taken in", "endpoints", "ns a list");
        final List<RequestSpec> requests = requests(seed);
        for (final int size : ENDPOINT_COUNTS) {
            final List<Endpoint> endpoints = Fixtures.endpoints(size);
            final AffinityRouter router = router(seed, endpoints);
            decision.add(size, meter.measureCpuNanos(() -> decide(router, requests)));
            report.add(size, meter.measureCpuNanos(() -> report(router, endpoints)));
            update.add(size, meter.measureCpuNanos(() -> replaceEndpoints(router, endpoints)));
            memory.add(
                    size, meter.measureRetainedBytes(() -> router(seed, Fixtures.endpoints(size))));
        }
        out.print(decision);
        out.print(report);
        out.print(update);
        out.print(memory);
        measureIndex(meter, seed, out);
    }

    private static void measureIndex(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series memory = new Series("router's memory", "blocks in its index", "bytes");
        for (final int blocks : BLOCK_COUNTS) {
            memory.add(blocks, meter.measureRetainedBytes(() -> routerWithBlocks(seed, blocks)));
        }
        out.print(memory);
        final Random random = new Random(seed);
        final List<Endpoint> endpoints = Fixtures.endpoints(256);
        final AffinityRouter router = router(seed, endpoints);
        final Series events = new Series("cache event taken in", "events a call", "ns an event");
        for (final int size : new int[] {EVENTS_PER_CALL, 2 * EVENTS_PER_CALL}) {
            events.add(size, meter.measureCpuNanos(() -> events(router, endpoints, random, size)));
        }
        out.print(events);
    }

    private static AffinityRouter routerWithBlocks(final long seed, final int blocks) {
        final List<Endpoint> endpoints = Fixtures.endpoints(256);
        final AffinityRouter router = router(seed, endpoints);
        events(router, endpoints, new Random(seed), blocks);
        return router;
    }

    private static long events(
            final AffinityRouter router,
            final List<Endpoint> endpoints,
            final Random random,
            final int count) {
        for (int i = 0; i < count; i++) {
            router.cacheChanged(
                    new CacheEvent(
                            endpoints.get(i % endpoints.size()).id(),
                            CacheEvent.Kind.STORED,
                            random.nextLong()));
        }
        return count;
    }

    static AffinityRouter router(final long seed, final List<Endpoint> endpoints) {
        final AffinityRouter router =
                new AffinityRouter(RoutingSettings.of(Fixtures.domain(0)), new Random(seed));
        router.endpointsChanged(endpoints);
        report(router, endpoints);
        return router;
    }

    private static List<RequestSpec> requests(final long seed) {
        final Random random = new Random(seed);
        final List<RequestSpec> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(Fixtures.request(i, random));
        }
        return requests;
    }

    private static long decide(final AffinityRouter router, final List<RequestSpec> requests) {
        for (final RequestSpec spec : requests) {
            router.choose(spec, Set.of(), Fixtures.START)
                    .ifPresent(
                            endpoint -> router.attemptEnded(endpoint.id(), spec, Fixtures.START));
        }
        return requests.size();
    }

    private static long replaceEndpoints(
            final AffinityRouter router, final List<Endpoint> endpoints) {
        router.endpointsChanged(endpoints);
        return 1;
    }

    private static long report(final AffinityRouter router, final List<Endpoint> endpoints) {
        for (int i = 0; i < endpoints.size(); i++) {
            final Endpoint endpoint = endpoints.get(i);
            router.loadReported(
                    new LoadReport(endpoint.id(), Fixtures.START, i % 16, 0, 0), Fixtures.START);
        }
        return endpoints.size();
    }
}
