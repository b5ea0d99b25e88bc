package org.whinhead.bench.retries;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.whinhead.admission.Target;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.bench.engine.Cluster;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.routing.CacheEvent;
import org.whinhead.routing.LoadReport;

/** Simulates one outage under one retry variant. */
final class OutageRun {

    private static final int ENGINES = 12;
    private static final int DAEMONS = 4;
    private static final int ENGINES_OF_EACH_FAULT = 2;
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);
    private static final Duration REPORT_LAG = Duration.ofMillis(500);
    private static final Duration EVENT_LAG = Duration.ofMillis(300);
    private static final List<EngineFault> FAULTS =
            List.of(EngineFault.UNREACHABLE, EngineFault.CUTS_STREAMS, EngineFault.SILENT);

    private final Simulation mSimulation = new Simulation();
    private final Map<EndpointId, FaultyEngine> mEngines = new LinkedHashMap<>();
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    private final OutageMetrics mFigures;

    private OutageRun(final RetryVariant variant, final double perSecond, final long seed) {
        final List<Endpoint> endpoints = Cluster.endpoints(ENGINES);
        final Random random = new Random(seed);
        for (int i = 0; i < ENGINES; i++) {
            final EndpointId id = endpoints.get(i).id();
            mEngines.put(id, new FaultyEngine(i, id, mSimulation, random, this::cacheChanged));
        }
        final SimulatedCallers callers = new SimulatedCallers(mSimulation, perSecond, seed);
        final Target target = new Target(EndpointKind.MODEL_ENGINE, Conversations.MODEL.toString());
        final SimulatedDaemon.Setup setup =
                new SimulatedDaemon.Setup(mEngines, endpoints, target, DAEMONS);
        for (int i = 0; i < DAEMONS; i++) {
            final Random daemonRandom = new Random(seed + i);
            mDaemons.add(new SimulatedDaemon(variant, setup, mSimulation, daemonRandom, callers));
        }
        mFigures = new OutageMetrics(callers, this::dispatches, this::computedTokens);
        report();
        scheduleOutage();
        callers.start(mDaemons);
    }

    static OutageMetrics of(final RetryVariant variant, final double perSecond, final long seed) {
        final OutageRun run = new OutageRun(variant, perSecond, seed);
        run.mSimulation.runFor(OutageMetrics.LENGTH);
        return run.mFigures;
    }

    private void scheduleOutage() {
        mSimulation.schedule(OutageMetrics.WARM_UP, mFigures::onWarmUpEnded);
        mSimulation.schedule(OutageMetrics.BEGIN, this::begin);
        mSimulation.schedule(OutageMetrics.END, this::end);
    }

    private void begin() {
        mFigures.onOutageBegan();
        int index = 0;
        for (final FaultyEngine engine : mEngines.values()) {
            final int fault = index / ENGINES_OF_EACH_FAULT;
            engine.setFault(fault < FAULTS.size() ? FAULTS.get(fault) : EngineFault.NONE);
            index++;
        }
    }

    private void end() {
        mFigures.onOutageEnded();
        mEngines.values().forEach(engine -> engine.setFault(EngineFault.NONE));
    }

    private void report() {
        for (final FaultyEngine engine : mEngines.values()) {
            if (engine.canReportLoad()) {
                final LoadReport report = engine.load();
                mSimulation.schedule(REPORT_LAG, () -> deliver(report));
            }
        }
        mSimulation.schedule(REPORT_PERIOD, this::report);
    }

    private void deliver(final LoadReport report) {
        final Instant now = mSimulation.now();
        mDaemons.forEach(daemon -> daemon.router().loadReported(report, now));
    }

    private void cacheChanged(final CacheEvent event) {
        mSimulation.schedule(
                EVENT_LAG, () -> mDaemons.forEach(daemon -> daemon.router().cacheChanged(event)));
    }

    private long dispatches() {
        return mDaemons.stream().mapToLong(SimulatedDaemon::dispatches).sum();
    }

    private long computedTokens() {
        return mEngines.values().stream().mapToLong(FaultyEngine::computedTokens).sum();
    }
}
