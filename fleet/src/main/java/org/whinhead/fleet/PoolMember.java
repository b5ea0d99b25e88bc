package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.VmState;

/**
 * One engine of a pool, as the reconciler sees it.
 *
 * @param pool the pool
 * @param endpoint the engine with its VM and loaded models
 * @param supply what it was bought as
 * @param inProgress requests in progress on it, over all daemons; an overestimate is safe
 */
public record PoolMember(PoolName pool, Endpoint endpoint, Supply supply, int inProgress) {

    /** Checks every part. */
    public PoolMember {
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(supply, "supply");
        Arguments.requireAtLeast(inProgress, 0, "inProgress");
    }

    /** Tells whether the VM counts towards the plan: it is neither leaving nor gone. */
    public boolean countsTowardPlan() {
        final VmState state = endpoint.vm().state();
        return state == VmState.LIVE || state == VmState.SUSPECT;
    }
}
