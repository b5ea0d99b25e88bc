package org.whinhead.daemon.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.VmId;
import org.whinhead.clients.engine.EngineClient;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.vms.ListedVm;
import org.whinhead.clients.vms.VmListClient;
import org.whinhead.clients.vms.VmListing;
import org.whinhead.clients.vms.VmRole;
import org.whinhead.routing.LoadReport;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Polls the platform's VM list, and the models and the load of the engines on the list. */
public final class EndpointPoller implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointPoller.class);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final int RING_SLOTS = 1024;

    private final TaskLoop mLoop;
    private final VmListClient mVmList;
    private final EngineClient mEngines;
    private final Listener mListener;
    private final Map<VmId, Set<ModelRef>> mModels = new HashMap<>();
    private final XnioExecutor.Key mTimer;
    private List<ListedVm> mVms = List.of();
    private List<Endpoint> mPublishedEndpoints = List.of();
    private boolean mVmListRead;

    /** Receives the results on the poller's thread. */
    public interface Listener {
        /**
         * Handles a change of the listed endpoints or their loaded models.
         *
         * @param endpoints all endpoints
         */
        void endpointsDescribed(List<Endpoint> endpoints);

        /**
         * Handles an engine's load report.
         *
         * @param report the report
         */
        void loadPolled(LoadReport report);

        /**
         * Handles a VM list that was read.
         *
         * @param listing the list
         */
        void vmListRead(VmListing listing);

        /**
         * Returns whether this daemon polls the load of an endpoint.
         *
         * @param endpoint the endpoint
         * @return false if another daemon polls the endpoint and shares the report
         */
        boolean isPolledHere(EndpointId endpoint);
    }

    /**
     * Creates a poller and starts its thread.
     *
     * @param name the thread's name
     * @param caller the HTTP client
     * @param vmList the client of the VM list
     * @param listener the receiver of the results
     */
    public EndpointPoller(
            final String name,
            final HttpCaller caller,
            final VmListClient vmList,
            final Listener listener) {
        mLoop = new TaskLoop(name, RING_SLOTS);
        mVmList = vmList;
        mEngines = new EngineClient(caller);
        mListener = listener;
        final XnioIoThread timers = caller.anyThread();
        timers.execute(this::poll);
        mTimer =
                timers.executeAtInterval(
                        this::poll, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mTimer.remove();
        mLoop.close();
    }

    private void poll() {
        mLoop.offer(
                () -> {
                    whenRead(mVmList.read(), this::onVmList, "VM list cannot be read");
                    mVms.stream()
                            .filter(vm -> vm.role() == VmRole.ENGINE)
                            .forEach(this::pollEngine);
                });
    }

    private void pollEngine(final ListedVm vm) {
        final String problem = "engine " + vm.vm().id() + " does not answer";
        whenRead(mEngines.models(vm.uri()), models -> onModels(vm, models), problem);
        if (!mListener.isPolledHere(new EndpointId(vm.vm().id().value()))) {
            return;
        }
        whenRead(
                mEngines.load(vm.uri()),
                load ->
                        mListener.loadPolled(
                                new LoadReport(
                                        new EndpointId(vm.vm().id().value()),
                                        load.asOf(),
                                        load.running(),
                                        load.waiting(),
                                        load.tokensPerSecond())),
                problem);
    }

    private <T> void whenRead(
            final CompletionStage<T> stage, final Consumer<T> handler, final String problem) {
        stage.whenComplete(
                (result, fault) -> {
                    if (fault == null) {
                        mLoop.offer(() -> handler.accept(result));
                    } else {
                        LOGGER.atDebug().addKeyValue("cause", fault.getMessage()).log(problem);
                    }
                });
    }

    private void onVmList(final VmListing listing) {
        final boolean first = !mVmListRead;
        mVmListRead = true;
        mVms = listing.vms();
        mModels.keySet().retainAll(mVms.stream().map(vm -> vm.vm().id()).toList());
        mListener.vmListRead(listing);
        publishEndpoints();
        if (first) {
            mVms.stream().filter(vm -> vm.role() == VmRole.ENGINE).forEach(this::pollEngine);
        }
    }

    private void onModels(final ListedVm vm, final Set<ModelRef> models) {
        mModels.put(vm.vm().id(), models);
        publishEndpoints();
    }

    private void publishEndpoints() {
        final List<Endpoint> endpoints =
                mVms.stream()
                        .filter(vm -> vm.role() != VmRole.ENTRY)
                        .map(vm -> vm.endpoint(mModels.getOrDefault(vm.vm().id(), Set.of())))
                        .toList();
        if (!endpoints.equals(mPublishedEndpoints)) {
            mPublishedEndpoints = endpoints;
            mListener.endpointsDescribed(endpoints);
        }
    }
}
