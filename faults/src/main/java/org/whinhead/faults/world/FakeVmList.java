package org.whinhead.faults.world;

import java.util.List;
import org.whinhead.api.model.Endpoint;

/** The cloud's VM list, which shows each change after a lag and can be frozen. */
public final class FakeVmList {

    private static final int REFRESH_MILLIS = 250;
    private static final int LAG_MILLIS = 2_500;

    private final FakeWorld mWorld;
    private List<Endpoint> mEndpoints = List.of();
    private boolean mFrozen;

    FakeVmList(final FakeWorld world) {
        mWorld = world;
    }

    /** Stops or resumes updates of the list. */
    public void setFrozen(final boolean frozen) {
        mFrozen = frozen;
    }

    List<Endpoint> endpoints() {
        return mEndpoints;
    }

    /** Shows the current state at once and every later state with a lag. */
    void start() {
        mEndpoints = currentEndpoints();
        refresh();
    }

    private void refresh() {
        final List<Endpoint> current = currentEndpoints();
        mWorld.clock().schedule(LAG_MILLIS, () -> show(current));
        mWorld.clock().schedule(REFRESH_MILLIS, this::refresh);
    }

    private void show(final List<Endpoint> endpoints) {
        if (!mFrozen) {
            mEndpoints = endpoints;
        }
    }

    private List<Endpoint> currentEndpoints() {
        return mWorld.backends().stream()
                .filter(backend -> backend.mode() != FakeBackend.Mode.DEAD)
                .map(FakeBackend::endpoint)
                .toList();
    }
}
