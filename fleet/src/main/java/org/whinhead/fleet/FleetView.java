package org.whinhead.fleet;

import java.util.List;
import java.util.Objects;

/**
 * All that one round of reconciling looks at.
 *
 * @param pools what the settings want
 * @param members the engines that are seen; the VM list behind it lags
 * @param open orders on the log that have no outcome there yet, in log order
 * @param round a number that grows with each round on the log, so that order names differ
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

    /** Returns the open starts for one pool. */
    List<FleetOrder.StartVm> startsOf(final PoolName pool) {
        return open.stream()
                .filter(FleetOrder.StartVm.class::isInstance)
                .map(FleetOrder.StartVm.class::cast)
                .filter(start -> start.pool().equals(pool))
                .toList();
    }
}
