package org.whinhead.standins.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;
import org.whinhead.standins.vms.VmEntry;

/** Serves a {@link CloudSimulation} over the cloud's HTTP protocol. */
public final class CloudStandIn implements AutoCloseable {

    private static final long DEFAULT_NOTICE_MILLIS = 10_000;

    private final StandInContext mContext;
    private final StandInServer mServer;
    private final List<Price> mPrices;
    private final VmMeter mMeter;
    private final ExecutorService mActionsThread =
            Executors.newSingleThreadExecutor(
                    task -> {
                        final Thread thread = new Thread(task, "standins-cloud");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final CloudSimulation mSimulation;
    private final List<PendingRequest> mPending = new ArrayList<>();
    private final Runnable mRemoveTask;

    private CloudStandIn(
            final StandInServer server,
            final Duration boot,
            final List<Price> prices,
            final CloudActions actions,
            final StandInContext context) {
        mContext = context;
        mServer = server;
        mPrices = List.copyOf(prices);
        mMeter = new VmMeter(mPrices);
        mSimulation = new CloudSimulation(boot, onActionsThread(actions));
        server.route("POST", "/cloud/vms", this::startVm)
                .route("DELETE", "/cloud/vms/{id}", this::stopVm)
                .route("GET", "/cloud/prices", this::prices)
                .route("GET", "/cloud/notices", this::notices)
                .route("POST", "/faults", faults());
        mRemoveTask = context.ticker().add(this::tick);
    }

    /**
     * Starts a cloud server.
     *
     * @param port the port, or 0 for a free one
     * @param boot the time that a VM needs to start
     * @param prices the hourly prices of VMs
     * @param actions the listener for VM events, called on a thread of its own
     * @param context the clock and counters shared in the process
     * @return the listening cloud
     */
    public static CloudStandIn start(
            final int port,
            final Duration boot,
            final List<Price> prices,
            final CloudActions actions,
            final StandInContext context) {
        final StandInServer server = new StandInServer("127.0.0.1", port);
        final CloudStandIn cloud = new CloudStandIn(server, boot, prices, actions, context);
        server.start();
        return cloud;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    /** Adds a VM that already runs. */
    public synchronized void addRunning(final String vm, final VmOrder order) {
        mSimulation.addRunning(vm, order);
        mMeter.started(vm, order, mContext.ticker().now());
    }

    /** Returns the cost of the VMs of each role so far, by the price list. */
    public Map<VmEntry.Role, Double> cost() {
        return mMeter.cost(mContext.ticker().now());
    }

    /** Fault: reclaims one VM. */
    public synchronized void reclaim(final String vm, final Duration notice) {
        mSimulation.reclaim(vm, notice, mContext.ticker().now());
    }

    /** Fault: reclaims all reclaimable VMs of a failure domain. */
    public synchronized void reclaim(final FailureDomain domain, final Duration notice) {
        mSimulation.reclaim(domain, notice, mContext.ticker().now());
    }

    /** Fault: sets whether the cloud refuses to start VMs. */
    public synchronized void refuseStarts(final boolean refuses) {
        mSimulation.refuseStarts(refuses);
    }

    @Override
    public void close() {
        mRemoveTask.run();
        mServer.close();
        mActionsThread.shutdownNow();
    }

    /** Wraps a listener to run on the actions thread, as starting and killing servers is slow. */
    private CloudActions onActionsThread(final CloudActions actions) {
        return new CloudActions() {
            @Override
            public void onStarted(final String vm, final VmOrder order) {
                mMeter.started(vm, order, mContext.ticker().now());
                mActionsThread.execute(() -> actions.onStarted(vm, order));
            }

            @Override
            public void onNotice(final String vm, final Instant goneBy) {
                mActionsThread.execute(() -> actions.onNotice(vm, goneBy));
            }

            @Override
            public void onGone(final String vm) {
                mMeter.stopped(vm, mContext.ticker().now());
                mActionsThread.execute(() -> actions.onGone(vm));
            }
        };
    }

    private FaultHandler faults() {
        return new FaultHandler(mServer)
                .addFault("refuse-starts", body -> refuseStarts(true))
                .addFault("allow-starts", body -> refuseStarts(false))
                .addFault("reclaim-vm", body -> reclaim(body.path("vm").asText(), noticeTime(body)))
                .addFault("reclaim-domain", body -> reclaim(domain(body), noticeTime(body)));
    }

    private static Duration noticeTime(final JsonNode body) {
        return Duration.ofMillis(body.path("noticeMillis").asLong(DEFAULT_NOTICE_MILLIS));
    }

    private static FailureDomain domain(final JsonNode body) {
        return new FailureDomain(body.path("region").asText(), body.path("domain").asText());
    }

    private synchronized void tick(final Instant now) {
        mSimulation.advance(now);
        mPending.removeIf(pending -> answer(pending, now));
    }

    private synchronized void startVm(final StandInCall call) throws IOException {
        final JsonNode body = call.json();
        final String billing = body.path("billing").asText().replace('-', '_');
        final VmOrder order =
                new VmOrder(
                        body.path("orderId").asText(),
                        domain(body),
                        body.path("machineClass").asText(),
                        Billing.valueOf(billing.toUpperCase(Locale.ROOT)),
                        VmEntry.Role.parse(body.path("role").asText()));
        final Optional<String> vm = mSimulation.start(order, mContext.ticker().now());
        if (vm.isPresent()) {
            call.reply(200, StandInCall.object().put("id", vm.get()));
        } else {
            call.reply(409, StandInCall.object().put("reason", "capacity"));
        }
    }

    private synchronized void stopVm(final StandInCall call) {
        mSimulation.stop(call.parameter("id").orElse(""));
        call.reply(204);
    }

    private void prices(final StandInCall call) {
        final ObjectNode root = StandInCall.object();
        final ArrayNode prices = root.putArray("prices");
        for (final Price price : mPrices) {
            prices.addObject()
                    .put("region", price.domain().region())
                    .put("domain", price.domain().name())
                    .put("machineClass", price.machineClass())
                    .put("billing", VmEntry.wireName(price.billing()))
                    .put("perHour", price.perHour());
        }
        call.reply(200, root);
    }

    private synchronized void notices(final StandInCall call) throws IOException {
        final Instant now = mContext.ticker().now();
        final Instant until = now.plusMillis(call.number("waitMillis", 0));
        final PendingRequest pending = new PendingRequest(call, call.number("after", 0), until);
        if (!answer(pending, now)) {
            mPending.add(pending);
        }
    }

    private boolean answer(final PendingRequest pending, final Instant now) {
        final List<CloudSimulation.Notice> found = mSimulation.notices(pending.after());
        if (found.isEmpty() && pending.until().isAfter(now)) {
            return false;
        }
        final ObjectNode root = StandInCall.object();
        final ArrayNode notices = root.putArray("notices");
        long next = pending.after();
        for (final CloudSimulation.Notice notice : found) {
            notices.addObject()
                    .put("sequence", notice.sequence())
                    .put("vm", notice.vm())
                    .put("goneBy", notice.goneBy().toString());
            next = notice.sequence();
        }
        pending.call().reply(200, root.put("next", next));
        return true;
    }

    private record PendingRequest(StandInCall call, long after, Instant until) {}
}
