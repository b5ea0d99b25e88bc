package org.whinhead.faults.world;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.fleet.OrderId;

/** The cloud: the same order gives the same VM, and starts may be refused. */
public final class FakeCloud {

    private final FakeWorld mWorld;
    private final Map<OrderId, FakeBackend> mStarted = new HashMap<>();
    private boolean mRefusingStarts;

    FakeCloud(final FakeWorld world) {
        mWorld = world;
    }

    /** Refuses all starts, or no more. */
    public void setRefusingStarts(final boolean refusing) {
        mRefusingStarts = refusing;
    }

    /** Returns how many VMs were started by order. */
    public int startedCount() {
        return mStarted.size();
    }

    /** Starts a VM, or returns the one that the order started before; empty if refused. */
    Optional<FakeBackend> start(final OrderId order, final FailureDomain domain) {
        final FakeBackend known = mStarted.get(order);
        if (known != null || mRefusingStarts) {
            return Optional.ofNullable(known);
        }
        final FakeBackend started = mWorld.fleet().addEngine(domain);
        mStarted.put(order, started);
        return Optional.of(started);
    }
}
