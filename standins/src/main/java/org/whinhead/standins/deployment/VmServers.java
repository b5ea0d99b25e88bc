package org.whinhead.standins.deployment;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.VmOrder;
import org.whinhead.standins.engine.EngineConfig;
import org.whinhead.standins.engine.EngineStandIn;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;

/** Starts and stops the server of each VM and updates the VM list. */
final class VmServers implements CloudActions, AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final Duration SERVICE_LATENCY = Duration.ofMillis(40);
    private static final int IGNORES_FENCING_EVERY = 3;

    private final DeploymentConfig mConfig;
    private final StandInContext mContext;
    private final VmListStandIn mVms;
    private final URI mWeights;
    private final CloudActions mEntries;
    private final Map<String, EngineStandIn> mEngines = new ConcurrentSkipListMap<>();
    private final Map<String, ServiceStandIn> mServices = new ConcurrentSkipListMap<>();
    private volatile boolean mInitialPhase = true;
    private int mStarted;

    VmServers(
            final DeploymentConfig config,
            final StandInContext context,
            final VmListStandIn vms,
            final URI weights,
            final CloudActions entries) {
        mConfig = config;
        mContext = context;
        mVms = vms;
        mWeights = weights;
        mEntries = entries;
    }

    Map<String, EngineStandIn> engines() {
        return mEngines;
    }

    Map<String, ServiceStandIn> services() {
        return mServices;
    }

    /** Ends the initial phase, in which VMs appear on the VM list without a lag. */
    void endInitialPhase() {
        mInitialPhase = false;
    }

    /** Starts the server of a VM and lists the VM; the listener starts daemons. */
    void start(final String vm, final VmOrder order, final int port, final Set<String> models) {
        mStarted++;
        final boolean checks = mStarted % IGNORES_FENCING_EVERY != 0;
        switch (order.role()) {
            case ENGINE -> {
                final EngineStandIn engine =
                        EngineStandIn.start(engineConfig(vm, port, models, checks), mContext);
                mEngines.put(vm, engine);
                show(vm, order, engine.uri(), "", checks, engine.config().slots());
            }
            case SERVICE -> {
                final String name = mConfig.plan().service();
                final ServiceConfig settings =
                        new ServiceConfig(name, HOST, port, 32, SERVICE_LATENCY);
                final ServiceStandIn service = ServiceStandIn.start(settings, mContext);
                mServices.put(vm, service);
                show(vm, order, service.uri(), name, true, settings.slots());
            }
            default -> mEntries.onStarted(vm, order);
        }
    }

    /** Adds a VM to the VM list. */
    void show(
            final String vm,
            final VmOrder order,
            final URI uri,
            final String service,
            final boolean checksFencing,
            final int slots) {
        final FailureDomain domain = order.domain();
        final VmEntry entry =
                new VmEntry(
                        vm,
                        HOST,
                        domain,
                        order.machineClass(),
                        order.billing(),
                        false,
                        order.role(),
                        uri.toString(),
                        service,
                        checksFencing,
                        slots);
        if (mInitialPhase) {
            mVms.seed(entry);
        } else {
            mVms.put(entry);
        }
    }

    @Override
    public synchronized void onStarted(final String vm, final VmOrder order) {
        start(vm, order, 0, Set.of());
    }

    @Override
    public void onNotice(final String vm, final Instant goneBy) {
        mVms.markLeaving(vm);
        if (!hasServer(vm)) {
            mEntries.onNotice(vm, goneBy);
        }
    }

    @Override
    public void onGone(final String vm) {
        mVms.remove(vm);
        if (!hasServer(vm)) {
            mEntries.onGone(vm);
        }
        Optional.ofNullable(mEngines.remove(vm)).ifPresent(VmServers::end);
        Optional.ofNullable(mServices.remove(vm)).ifPresent(ServiceStandIn::close);
    }

    @Override
    public void close() {
        mEngines.values().forEach(EngineStandIn::close);
        mServices.values().forEach(ServiceStandIn::close);
    }

    private boolean hasServer(final String vm) {
        return mEngines.containsKey(vm) || mServices.containsKey(vm);
    }

    private static void end(final EngineStandIn engine) {
        engine.kill();
        engine.close();
    }

    private EngineConfig engineConfig(
            final String vm, final int port, final Set<String> models, final boolean checks) {
        return EngineConfig.builder(vm)
                .address(HOST, port)
                .models(models)
                .speedUp(mConfig.speedUp())
                .readerGrace(mConfig.readerGrace())
                .checksFencing(checks)
                .weights(mWeights)
                .build();
    }
}
