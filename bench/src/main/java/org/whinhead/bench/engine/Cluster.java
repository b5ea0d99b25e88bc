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

/** Engines and the routers of several daemons before them, with lagging reports and events. */
public final class Cluster implements EngineListener {

    /** The failure domain of everything in the model. */
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
     * Makes idle engines and routers that know them.
     *
     * @param sizes how many engines and routers
     * @param strategy how the routers choose
     * @param seed the seed of all chance
     * @param simulation the simulated time
     * @param finished told of each whole answer
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
     * Makes endpoints that all serve the model.
     *
     * @param count how many
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
     * Routes a request through one of the daemons to an engine.
     *
     * @param sequence the request
     * @param router the number of the daemon's router
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
     * How much there is.
     *
     * @param engines engines
     * @param routers daemons
     */
    public record Sizes(int engines, int routers) {}
}
