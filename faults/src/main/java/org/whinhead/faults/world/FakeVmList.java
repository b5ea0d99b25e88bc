package org.whinhead.faults.world;

import java.util.List;
import org.whinhead.api.model.Endpoint;

/** The VM list: what it shows is old, and while it is frozen it gets older. */
public final class FakeVmList {

    private static final int EVERY_MILLIS = 250;

    private final FakeWorld mWorld;
    private List<Endpoint> mShown = List.of();
    private boolean mFrozen;

    FakeVmList(final FakeWorld world) {
        mWorld = world;
    }

    /** Stops or resumes the list's changes. */
    public void setFrozen(final boolean frozen) {
        mFrozen = frozen;
    }

    List<Endpoint> shown() {
        return mShown;
    }

    /** Shows the present state and goes on doing so. */
    void start() {
        if (!mFrozen) {
            mShown =
                    mWorld.backends().stream()
                            .filter(backend -> backend.isListed(mWorld.time().now()))
                            .map(FakeBackend::endpoint)
                            .toList();
        }
        mWorld.time().after(EVERY_MILLIS, this::start);
    }
}
