package org.whinhead.fleet;

import java.util.List;
import java.util.Objects;

/**
 * The input of one reconciliation round.
 *
 * @param pools the desired state of each pool
 * @param members the observed engines; the underlying VM list lags
 * @param open the orders on the log without an outcome yet, in log order
 * @param round the number of the round, which increases with each round on the log so that order
 *     IDs are unique
 */
public record FleetView(
        List<Pool> pools, List<PoolMember> members, List<FleetOrder> open, long round) {

    /** Copies the lists. */
    public FleetView {
        pools = List.copyOf(pools);
        members = List.copyOf(members);
        open = List.copyOf(open);
        Objects.requireNonNull(pools, "pools");
    }

    /** Returns the members of one pool. */
    List<PoolMember> membersOf(final PoolName pool) {
        return members.stream().filter(member -> member.pool().equals(pool)).toList();
    }

    /** Returns the open start orders of one pool. */
    List<FleetOrder.StartVm> startsOf(final PoolName pool) {
        return open.stream()
                .filter(FleetOrder.StartVm.class::isInstance)
                .map(FleetOrder.StartVm.class::cast)
                .filter(start -> start.pool().equals(pool))
                .toList();
    }
}
