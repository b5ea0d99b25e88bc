package org.whinhead.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.CloudStandIn;
import org.whinhead.standins.cloud.VmOrder;
import org.whinhead.standins.engine.EngineStandIn;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;
import org.whinhead.standins.log.LogConfig;
import org.whinhead.standins.log.LogStandIn;
import org.whinhead.standins.service.ServiceStandIn;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;
import org.whinhead.standins.weights.WeightStoreSimulation;
import org.whinhead.standins.weights.WeightStoreStandIn;

/** Runs the platform, engine and service stand-ins of one deployment in this process. */
public final class DeploymentStandIns implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final Duration VM_START_TIME = Duration.ofSeconds(30);
    private static final long MODEL_BYTES = 16_000_000_000L;
    private static final long WEIGHT_BYTES_PER_SECOND = 2_000_000_000L;
    private static final int MAX_LOADS = 8;
    private static final int FIRST_ENGINE_PORT_OFFSET = 10;
    private static final int FIRST_SERVICE_PORT_OFFSET = 30;
    private static final int CONTROL_PORT_OFFSET = 4;

    private final DeploymentConfig mConfig;
    private final StandInContext mContext;
    private final LogStandIn mLog;
    private final VmListStandIn mVms;
    private final WeightStoreStandIn mWeights;
    private final VmServers mServers;
    private final CloudStandIn mCloud;
    private final StandInServer mControl;

    private DeploymentStandIns(
            final DeploymentConfig config,
            final StandInContext context,
            final CloudActions entries) {
        mConfig = config;
        mContext = context;
        final int log = config.port(0);
        mLog =
                LogStandIn.start(
                        new LogConfig(
                                HOST,
                                log,
                                LogConfig.DEFAULT.appendsPerSecond(),
                                LogConfig.DEFAULT.retention()),
                        context);
        mVms = VmListStandIn.start(config.port(1), config.vmLag(), context);
        mWeights = WeightStoreStandIn.start(config.port(3), weights(config), context);
        mServers = new VmServers(config, context, mVms, mWeights.uri(), entries);
        mCloud =
                CloudStandIn.start(
                        config.port(2),
                        scaled(VM_START_TIME, config.speedUp()),
                        config.plan().prices(),
                        mServers,
                        context);
        mControl = new StandInServer(HOST, config.port(CONTROL_PORT_OFFSET));
        mControl.route("GET", "/witness", call -> call.reply(200, context.workCounter().toJson()))
                .route("GET", "/addresses", call -> call.reply(200, addresses()))
                .route("POST", "/faults", faults());
    }

    /**
     * Starts a deployment whose daemons are started and stopped elsewhere.
     *
     * @param config the settings
     * @return the listening stand-ins
     */
    public static DeploymentStandIns start(final DeploymentConfig config) {
        return start(config, new NoOpCloudActions());
    }

    /**
     * Starts a deployment.
     *
     * @param config the settings
     * @param entries the listener for events of the daemons' VMs
     * @return the listening stand-ins
     */
    public static DeploymentStandIns start(
            final DeploymentConfig config, final CloudActions entries) {
        final DeploymentStandIns standIns =
                new DeploymentStandIns(config, StandInContext.start(), entries);
        standIns.startMachines();
        standIns.mControl.start();
        return standIns;
    }

    /** Returns the clock and the work counter that the stand-ins share. */
    public StandInContext context() {
        return mContext;
    }

    /** Returns the log service. */
    public LogStandIn log() {
        return mLog;
    }

    /** Returns the VM list. */
    public VmListStandIn vms() {
        return mVms;
    }

    /** Returns the cloud. */
    public CloudStandIn cloud() {
        return mCloud;
    }

    /** Returns the weight store. */
    public WeightStoreStandIn weights() {
        return mWeights;
    }

    /** Returns the running engines by VM. */
    public Map<String, EngineStandIn> engines() {
        return Map.copyOf(mServers.engines());
    }

    /** Returns the running plain services by VM. */
    public Map<String, ServiceStandIn> services() {
        return Map.copyOf(mServers.services());
    }

    /** Adds a daemon's VM to the cloud and the VM list. */
    public void addEntry(final String vm, final FailureDomain domain, final URI uri) {
        final VmOrder order = order(vm, domain, DeploymentPlan.ENTRY_CLASS, VmEntry.Role.ENTRY);
        mCloud.addRunning(vm, order);
        mServers.show(vm, order, uri, "", true, 1);
    }

    /** Returns the addresses of all stand-ins as JSON. */
    public ObjectNode addresses() {
        final ObjectNode root = StandInCall.object().put("deployment", mConfig.plan().wireName());
        root.put("log", mLog.uri().toString())
                .put("vms", mVms.uri().toString())
                .put("cloud", mCloud.uri().toString())
                .put("weights", mWeights.uri().toString())
                .put("control", mControl.uri().toString());
        final ObjectNode engines = root.putObject("engines");
        mServers.engines().forEach((vm, server) -> engines.put(vm, server.uri().toString()));
        final ObjectNode services = root.putObject("services");
        mServers.services().forEach((vm, server) -> services.put(vm, server.uri().toString()));
        return root;
    }

    @Override
    public void close() {
        mControl.close();
        mCloud.close();
        mServers.close();
        mWeights.close();
        mVms.close();
        mLog.close();
        mContext.close();
    }

    private void startMachines() {
        final List<FailureDomain> domains = mConfig.plan().domains();
        final int engines = domains.size() * DeploymentPlan.ENGINES_PER_DOMAIN;
        for (int index = 0; index < engines; index++) {
            startMachine(
                    "vm-engine-" + (index + 1),
                    domains.get(index % domains.size()),
                    VmEntry.Role.ENGINE,
                    mConfig.port(FIRST_ENGINE_PORT_OFFSET + index));
        }
        for (int index = 0; index < domains.size(); index++) {
            startMachine(
                    "vm-service-" + (index + 1),
                    domains.get(index),
                    VmEntry.Role.SERVICE,
                    mConfig.port(FIRST_SERVICE_PORT_OFFSET + index));
        }
        for (int index = 0; index < mConfig.entries().size(); index++) {
            final URI uri = mConfig.entries().get(index);
            addEntry("vm-entry-" + (index + 1), domains.get(index % domains.size()), uri);
        }
        mServers.endInitialPhase();
    }

    private void startMachine(
            final String vm, final FailureDomain domain, final VmEntry.Role role, final int port) {
        final String machineClass =
                role == VmEntry.Role.ENGINE
                        ? DeploymentPlan.ENGINE_CLASS
                        : DeploymentPlan.SERVICE_CLASS;
        final VmOrder order = order(vm, domain, machineClass, role);
        mCloud.addRunning(vm, order);
        mServers.start(vm, order, port, Set.of(mConfig.plan().model()));
    }

    private static VmOrder order(
            final String vm,
            final FailureDomain domain,
            final String machineClass,
            final VmEntry.Role role) {
        return new VmOrder("initial-" + vm, domain, machineClass, Billing.RECLAIMABLE, role);
    }

    private FaultHandler faults() {
        return new FaultHandler(mControl)
                .addFault("kill", body -> onServer(body, EngineStandIn::kill, ServiceStandIn::kill))
                .addFault(
                        "revive",
                        body -> onServer(body, EngineStandIn::revive, ServiceStandIn::revive));
    }

    private void onServer(
            final JsonNode body,
            final Consumer<EngineStandIn> engine,
            final Consumer<ServiceStandIn> service) {
        final String vm = body.path("vm").asText();
        Optional.ofNullable(mServers.engines().get(vm)).ifPresent(engine);
        Optional.ofNullable(mServers.services().get(vm)).ifPresent(service);
    }

    private static WeightStoreSimulation weights(final DeploymentConfig config) {
        final long rate = (long) (WEIGHT_BYTES_PER_SECOND * config.speedUp());
        return new WeightStoreSimulation(MODEL_BYTES, rate, MAX_LOADS);
    }

    private static Duration scaled(final Duration duration, final double speedUp) {
        return Duration.ofNanos((long) (duration.toNanos() / speedUp));
    }

    /** Ignores VM events, for daemons that are run elsewhere. */
    private static final class NoOpCloudActions implements CloudActions {
        @Override
        public void onStarted(final String vm, final VmOrder order) {
            // Daemons are started elsewhere.
        }

        @Override
        public void onNotice(final String vm, final Instant goneBy) {
            // The daemon reads the notice from the cloud.
        }

        @Override
        public void onGone(final String vm) {
            // Daemons are stopped elsewhere.
        }
    }
}
