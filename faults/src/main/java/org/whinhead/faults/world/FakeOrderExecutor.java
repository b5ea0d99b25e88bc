package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.VmId;
import org.whinhead.fleet.FleetOrder;

/** Executes fleet orders at the cloud and at engines, some of which check the fencing number. */
public final class FakeOrderExecutor {

    private static final long DRAIN_NOTICE_MILLIS = 60_000;

    private final FakeWorld mWorld;
    private final Map<FakeBackend, Long> mNewest = new HashMap<>();
    private final Map<FakeBackend, Instant> mNewestAt = new HashMap<>();
    private Duration mStaleWindow = Duration.ZERO;
    private int mArrived;
    private int mStaleRefused;

    FakeOrderExecutor(final FakeWorld world) {
        mWorld = world;
    }

    /** Returns the number of orders that arrived. */
    public int arrivedCount() {
        return mArrived;
    }

    /** Returns the number of orders that engines refused for an old fencing number. */
    public int staleRefusedCount() {
        return mStaleRefused;
    }

    /** Returns the longest time by which an old order ran after a newer holder's first order. */
    public Duration staleWindow() {
        return mStaleWindow;
    }

    void recordArrival(final FleetOrder order, final long fencing) {
        mArrived++;
    }

    /** Executes an order; returns false if it was refused. */
    boolean execute(final FleetOrder order, final long fencing) {
        if (order instanceof FleetOrder.StartVm start) {
            return mWorld.fleet().cloud().start(order.id(), start.supply().domain()).isPresent();
        } else if (order instanceof FleetOrder.DrainVm drain) {
            backend(drain.vm())
                    .ifPresent(
                            backend ->
                                    mWorld.fleet().announceLeaving(backend, DRAIN_NOTICE_MILLIS));
        } else if (order instanceof FleetOrder.StopVm stop) {
            backend(stop.vm()).ifPresent(FakeBackend::stopByOrder);
        } else if (order instanceof FleetOrder.LoadModel load) {
            final FakeBackend backend = mWorld.fleet().backend(load.endpoint());
            return isAccepted(backend, fencing) && backend.load(load.model());
        }
        return true;
    }

    private boolean isAccepted(final FakeBackend backend, final long fencing) {
        final long newest = mNewest.getOrDefault(backend, Long.MIN_VALUE);
        if (fencing > newest) {
            mNewest.put(backend, fencing);
            mNewestAt.put(backend, mWorld.clock().now());
        }
        if (fencing >= newest) {
            return true;
        }
        if (backend.endpoint().checksFencing()) {
            mStaleRefused++;
            return false;
        }
        final Duration age = Duration.between(mNewestAt.get(backend), mWorld.clock().now());
        mStaleWindow = age.compareTo(mStaleWindow) > 0 ? age : mStaleWindow;
        return true;
    }

    private Optional<FakeBackend> backend(final VmId vm) {
        return mWorld.fleet().backends().stream()
                .filter(backend -> backend.endpoint().vm().id().equals(vm))
                .findFirst();
    }
}
