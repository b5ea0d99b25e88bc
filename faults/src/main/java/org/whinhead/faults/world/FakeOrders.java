package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.VmId;
import org.whinhead.fleet.FleetOrder;

/** Where orders arrive: the cloud, and engines of which some check the fencing number. */
public final class FakeOrders {

    private static final long DRAIN_MILLIS = 60_000;

    private final FakeWorld mWorld;
    private final Map<FakeBackend, Long> mNewest = new HashMap<>();
    private final Map<FakeBackend, Instant> mNewestAt = new HashMap<>();
    private Duration mWindow = Duration.ZERO;
    private int mArrived;
    private int mRefusedAsOld;

    FakeOrders(final FakeWorld world) {
        mWorld = world;
    }

    /** Returns how many orders arrived. */
    public int count() {
        return mArrived;
    }

    /** Returns how many orders an engine refused for their old fencing number. */
    public int refusedAsOld() {
        return mRefusedAsOld;
    }

    /** Returns the longest time by which an old order was obeyed after a newer holder's first. */
    public Duration window() {
        return mWindow;
    }

    void arrived(final FleetOrder order, final long fencing) {
        mArrived++;
    }

    /** Carries an order out; false if it was refused. */
    boolean carryOut(final FleetOrder order, final long fencing) {
        if (order instanceof FleetOrder.StartVm start) {
            return mWorld.fleet().cloud().start(order.id(), start.supply().domain()).isPresent();
        } else if (order instanceof FleetOrder.DrainVm drain) {
            backend(drain.vm())
                    .ifPresent(backend -> mWorld.fleet().announce(backend, DRAIN_MILLIS));
        } else if (order instanceof FleetOrder.StopVm stop) {
            backend(stop.vm()).ifPresent(FakeBackend::stopAsPlanned);
        } else if (order instanceof FleetOrder.LoadModel load) {
            final FakeBackend backend = mWorld.fleet().backend(load.endpoint());
            return isObeyed(backend, fencing) && backend.load(load.model());
        }
        return true;
    }

    private boolean isObeyed(final FakeBackend backend, final long fencing) {
        final long newest = mNewest.getOrDefault(backend, Long.MIN_VALUE);
        if (fencing > newest) {
            mNewest.put(backend, fencing);
            mNewestAt.put(backend, mWorld.time().now());
        }
        if (fencing >= newest) {
            return true;
        }
        if (backend.endpoint().checksFencing()) {
            mRefusedAsOld++;
            return false;
        }
        final Duration late = Duration.between(mNewestAt.get(backend), mWorld.time().now());
        mWindow = late.compareTo(mWindow) > 0 ? late : mWindow;
        return true;
    }

    private Optional<FakeBackend> backend(final VmId vm) {
        return mWorld.fleet().backends().stream()
                .filter(backend -> backend.endpoint().vm().id().equals(vm))
                .findFirst();
    }
}
