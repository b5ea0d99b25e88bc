package org.whinhead.faults.world;

import java.util.List;
import org.whinhead.api.model.Endpoint;

/** The VM list: what it shows is old, and while it is frozen it gets older. */
public final class FakeVmList {

    private static final int REFRESH_MILLIS = 250;
    private static final int LAG_MILLIS = 2_500;

    private final FakeWorld mWorld;
    private List<Endpoint> mEndpoints = List.of();
    private boolean mFrozen;

    FakeVmList(final FakeWorld world) {
        mWorld = world;
    }

    /** Stops or resumes the list's changes. */
    public void setFrozen(final boolean frozen) {
        mFrozen = frozen;
    }

    List<Endpoint> endpoints() {
        return mEndpoints;
    }

    /** Shows the present state at once, and from then on an old one. */
    void start() {
        mEndpoints = currentEndpoints();
        refresh();
    }

    private void refresh() {
        final List<Endpoint> present = currentEndpoints();
        mWorld.clock().schedule(LAG_MILLIS, () -> show(present));
        mWorld.clock().schedule(REFRESH_MILLIS, this::refresh);
    }

    private void show(final List<Endpoint> old) {
        if (!mFrozen) {
            mEndpoints = old;
        }
    }

    private List<Endpoint> currentEndpoints() {
        return mWorld.backends().stream()
                .filter(backend -> backend.mode() != FakeBackend.Mode.DEAD)
                .map(FakeBackend::endpoint)
                .toList();
    }
}
