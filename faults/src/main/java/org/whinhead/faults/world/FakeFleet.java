package org.whinhead.faults.world;

import java.net.URI;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;

/** The VMs of engines and services in three failure domains, with a delayed VM list. */
public final class FakeFleet {

    /** The path of the setting that holds the model's version. */
    public static final String POOL_PATH = "/ops/pool";

    static final String SERVICE = "filing";
    private static final List<FailureDomain> DOMAINS =
            Stream.of("kg-gasabo", "kg-kicukiro", "kg-nyarugenge")
                    .map(name -> new FailureDomain("kigali", name))
                    .toList();

    private final FakeWorld mWorld;
    private final Map<EndpointId, FakeBackend> mBackends = new LinkedHashMap<>();
    private final Map<EndpointId, Instant> mNotices = new LinkedHashMap<>();
    private final FakeVmList mVmList;
    private final FakeCloud mCloud;
    private final FakeOrderExecutor mOrders;
    private int mEnginesNeeded;
    private int mOrderDelayMillis = 3;
    private boolean mReportsFrozen;

    FakeFleet(final FakeWorld world) {
        mWorld = world;
        mVmList = new FakeVmList(world);
        mCloud = new FakeCloud(world);
        mOrders = new FakeOrderExecutor(world);
    }

    /** Returns the three failure domains. */
    static List<FailureDomain> domains() {
        return DOMAINS;
    }

    static ModelRef model(final String version) {
        return ModelRef.of("draft", version);
    }

    /** Adds the first VMs; the pool then needs these engines less those of the largest domain. */
    void start(final int engines, final int services) {
        for (int count = 0; count < engines; count++) {
            addEngine(DOMAINS.get(count % DOMAINS.size()));
        }
        for (int count = 0; count < services; count++) {
            addService();
        }
        final int largestDomain = (engines + DOMAINS.size() - 1) / DOMAINS.size();
        mEnginesNeeded = engines - largestDomain;
        mVmList.start();
    }

    public FakeVmList vmList() {
        return mVmList;
    }

    public FakeCloud cloud() {
        return mCloud;
    }

    public FakeOrderExecutor orders() {
        return mOrders;
    }

    public List<FakeBackend> backends() {
        return List.copyOf(mBackends.values());
    }

    /** Sets the time between the send of an order and its arrival. */
    public void setOrderDelayMillis(final int millis) {
        mOrderDelayMillis = millis;
    }

    /** Stops or resumes load reports. */
    public void setReportsFrozen(final boolean frozen) {
        mReportsFrozen = frozen;
    }

    boolean areReportsFrozen() {
        return mReportsFrozen;
    }

    int orderDelayMillis() {
        return mOrderDelayMillis;
    }

    int enginesNeeded() {
        return mEnginesNeeded;
    }

    FakeBackend backend(final EndpointId id) {
        return mBackends.get(id);
    }

    FakeBackend addEngine(final FailureDomain domain) {
        final EndpointId id = new EndpointId("engine-" + mBackends.size());
        final boolean checksFencing = mBackends.size() % 2 == 0;
        final Endpoint.Builder engine =
                Endpoint.engine(id).models(Set.of(model("1"))).checksFencing(checksFencing);
        return add(engine, id, domain);
    }

    FakeBackend addService() {
        final EndpointId id = new EndpointId("service-" + mBackends.size());
        final FailureDomain domain = DOMAINS.get(mBackends.size() % DOMAINS.size());
        return add(Endpoint.plainService(id, SERVICE), id, domain);
    }

    /** Announces that a VM leaves; each daemon receives the notice after its own delay. */
    void announceLeaving(final FakeBackend backend, final long noticeMillis) {
        final EndpointId id = backend.endpoint().id();
        final Instant goneBy = mWorld.clock().now().plusMillis(noticeMillis);
        mNotices.merge(id, goneBy, (one, other) -> one.isBefore(other) ? one : other);
        backend.announceLeaving();
        for (final FakeDaemon daemon : mWorld.daemons()) {
            final int delay = mWorld.random().nextInt(100);
            mWorld.clock().schedule(delay, () -> daemon.onEndpointLeaving(id, goneBy));
        }
    }

    /** Sends all notices so far to a new daemon. */
    void sendNotices(final FakeDaemon daemon) {
        mNotices.forEach(daemon::onEndpointLeaving);
    }

    /** Returns the back end that processes a request. */
    public Optional<FakeBackend> backendProcessing(final RequestId request) {
        return mBackends.values().stream()
                .filter(backend -> backend.isProcessing(request))
                .findFirst();
    }

    /** Returns whether an engine has generated a request's whole answer. */
    public boolean hasGeneratedAll(final RequestId request) {
        return mBackends.values().stream().anyMatch(backend -> backend.hasGeneratedAll(request));
    }

    int inFlightAt(final EndpointId endpoint) {
        final int sends =
                mWorld.daemons().stream()
                        .filter(FakeDaemon::isAlive)
                        .mapToInt(daemon -> daemon.inFlightAt(endpoint))
                        .sum();
        return Math.max(sends, backend(endpoint).runningCount());
    }

    /** Ends all faults. */
    void heal() {
        mVmList.setFrozen(false);
        mCloud.setRefusingStarts(false);
        mReportsFrozen = false;
        mOrderDelayMillis = 3;
        backends().forEach(backend -> backend.setMode(FakeBackend.Mode.UP));
    }

    boolean isSettled(final String version) {
        final List<FakeBackend> serving =
                backends().stream().filter(FakeBackend::isServingEngine).toList();
        return serving.size() >= mEnginesNeeded
                && serving.stream().allMatch(e -> e.endpoint().models().contains(model(version)));
    }

    /** Checks that enough engines serve and that each has loaded the version. */
    void checkSettled(final String version) {
        final List<FakeBackend> serving =
                backends().stream().filter(FakeBackend::isServingEngine).toList();
        if (serving.size() < mEnginesNeeded) {
            throw new AssertionError(
                    "serving engines: " + serving.size() + " of " + mEnginesNeeded);
        }
        for (final FakeBackend backend : serving) {
            if (!backend.endpoint().models().contains(model(version))) {
                throw new AssertionError(
                        "version not loaded at " + backend.endpoint() + ": " + version);
            }
        }
    }

    private FakeBackend add(
            final Endpoint.Builder builder, final EndpointId id, final FailureDomain domain) {
        final VmId vmId = new VmId("vm-" + id);
        final Vm vm = new Vm(vmId, "127.0.0.1", domain, "small", Billing.RECLAIMABLE, VmState.LIVE);
        final Endpoint endpoint = builder.vm(vm).uri(URI.create("http://127.0.0.1")).build();
        final FakeBackend backend = new FakeBackend(mWorld, endpoint);
        mBackends.put(id, backend);
        return backend;
    }
}
