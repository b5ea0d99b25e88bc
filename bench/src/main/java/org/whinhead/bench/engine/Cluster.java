package org.whinhead.bench.engine;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.CacheEvent;
import org.whinhead.routing.LoadReport;
import org.whinhead.routing.RoutingSettings;
import org.whinhead.routing.RoutingStrategy;

/**
 * Simulates engines behind the routers of several daemons; load reports and cache events reach the
 * routers late, and some events are lost.
 */
public final class Cluster implements EngineListener {

    /** Failure domain of all simulated VMs. */
    public static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");

    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);
    private static final Duration REPORT_LAG = Duration.ofMillis(500);
    private static final Duration EVENT_LAG = Duration.ofMillis(300);
    private static final double EVENT_LOSS = 0.1;

    private final Simulation mSimulation;
    private final Consumer<Sequence> mFinished;
    private final Random mRandom;
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final Map<EndpointId, Integer> mEngineIndexes = new HashMap<>();
    private final List<AffinityRouter> mRouters = new ArrayList<>();
    private final Map<RequestId, Integer> mRouterOf = new HashMap<>();
    private final List<Endpoint> mEndpoints;

    /**
     * Creates idle engines and routers that have them as endpoints.
     *
     * @param sizes number of engines and routers
     * @param strategy strategy by which the routers choose an engine
     * @param seed seed of the random generators
     * @param simulation simulated clock and event queue
     * @param finished receives each sequence once its answer is complete
     */
    public Cluster(
            final Sizes sizes,
            final RoutingStrategy strategy,
            final long seed,
            final Simulation simulation,
            final Consumer<Sequence> finished) {
        mSimulation = simulation;
        mFinished = finished;
        mRandom = new Random(seed);
        mEndpoints = endpoints(sizes.engines());
        for (int i = 0; i < sizes.engines(); i++) {
            final EndpointId id = mEndpoints.get(i).id();
            mEngineIndexes.put(id, i);
            mEngines.add(new EngineModel(i, id, EngineSettings.DEFAULT, simulation, this));
        }
        for (int i = 0; i < sizes.routers(); i++) {
            final RoutingSettings settings = RoutingSettings.of(DOMAIN).withStrategy(strategy);
            final AffinityRouter router = new AffinityRouter(settings, new Random(seed + i));
            router.endpointsChanged(mEndpoints);
            mRouters.add(router);
        }
        simulation.schedule(REPORT_PERIOD, this::scheduleReports);
    }

    /**
     * Creates endpoints that all serve {@link Conversations#MODEL}.
     *
     * @param count number of endpoints
     * @return the endpoints
     */
    public static List<Endpoint> endpoints(final int count) {
        final List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final Vm vm =
                    new Vm(
                            new VmId("vm" + i),
                            "127.0.0.1",
                            DOMAIN,
                            "gpu",
                            Billing.RECLAIMABLE,
                            VmState.LIVE);
            endpoints.add(
                    Endpoint.engine(new EndpointId("engine" + i))
                            .vm(vm)
                            .uri(URI.create("http://127.0.0.1:8000"))
                            .models(Set.of(Conversations.MODEL))
                            .slots(EngineSettings.DEFAULT.slots())
                            .build());
        }
        return endpoints;
    }

    /**
     * Routes a request to an engine; drops it if the router finds none.
     *
     * @param sequence the request
     * @param router index of the daemon's router
     */
    public void send(final Sequence sequence, final int router) {
        final Optional<Endpoint> endpoint =
                mRouters.get(router).choose(sequence.spec(), Set.of(), mSimulation.now());
        if (endpoint.isPresent()) {
            mRouterOf.put(sequence.spec().id(), router);
            mEngines.get(mEngineIndexes.get(endpoint.get().id())).submit(sequence);
        }
    }

    @Override
    public void sequenceFinished(final int engine, final Sequence sequence) {
        final int router = mRouterOf.remove(sequence.spec().id());
        final EndpointId id = mEndpoints.get(engine).id();
        mRouters.get(router).attemptSucceeded(id, sequence.spec(), mSimulation.now());
        mRouters.get(router).attemptEnded(id, sequence.spec(), mSimulation.now());
        mFinished.accept(sequence);
    }

    @Override
    public void cacheChanged(final CacheEvent event) {
        if (mRandom.nextDouble() >= EVENT_LOSS) {
            mSimulation.schedule(
                    EVENT_LAG, () -> mRouters.forEach(router -> router.cacheChanged(event)));
        }
    }

    private void scheduleReports() {
        for (final EngineModel engine : mEngines) {
            final LoadReport report = engine.loadReport();
            mSimulation.schedule(REPORT_LAG, () -> deliver(report));
        }
        mSimulation.schedule(REPORT_PERIOD, this::scheduleReports);
    }

    private void deliver(final LoadReport report) {
        mRouters.forEach(router -> router.loadReported(report, mSimulation.now()));
    }

    /**
     * Number of simulated engines and routers.
     *
     * @param engines number of engines
     * @param routers number of routers, one for each daemon
     */
    public record Sizes(int engines, int routers) {}
}
