package org.whinhead.faults.world;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.fleet.OrderId;

/** A fake cloud that starts one VM per order, even if the order is repeated, or refuses starts. */
public final class FakeCloud {

    private final FakeWorld mWorld;
    private final Map<OrderId, FakeBackend> mStarted = new HashMap<>();
    private boolean mRefusingStarts;

    FakeCloud(final FakeWorld world) {
        mWorld = world;
    }

    /** Sets whether new starts are refused. */
    public void setRefusingStarts(final boolean refusing) {
        mRefusingStarts = refusing;
    }

    /** Returns the number of VMs started by orders. */
    public int startedCount() {
        return mStarted.size();
    }

    /** Starts a VM or returns the VM that the order started before; empty if refused. */
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
