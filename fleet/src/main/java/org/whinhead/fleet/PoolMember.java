package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.VmState;

/**
 * An engine of a pool, as observed by the reconciler.
 *
 * @param pool the name of the pool
 * @param endpoint the engine with its VM and loaded models
 * @param supply the supply that the VM was started from
 * @param inProgress the number of requests in progress on the engine, from all daemons; an
 *     overestimate is safe
 */
public record PoolMember(PoolName pool, Endpoint endpoint, Supply supply, int inProgress) {

    /** Validates the components. */
    public PoolMember {
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(supply, "supply");
        Arguments.requireAtLeast(inProgress, 0, "inProgress");
    }

    /** Returns whether the VM counts toward the plan: it is neither leaving nor gone. */
    public boolean countsTowardPlan() {
        final VmState state = endpoint.vm().state();
        return state == VmState.LIVE || state == VmState.SUSPECT;
    }
}
