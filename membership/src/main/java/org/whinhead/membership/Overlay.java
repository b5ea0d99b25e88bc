package org.whinhead.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.whinhead.api.model.VmId;

/**
 * Computes a daemon's neighbors in the gossip overlay: its successor and predecessor on several
 * hash rings, each ordered by a hash with a different salt. The result is deterministic, so that
 * both ends of a link choose each other.
 */
final class Overlay {

    private Overlay() {}

    /**
     * Returns the neighbors of a daemon.
     *
     * @param self the daemon's VM
     * @param members the VMs in the overlay, with or without the daemon's own
     * @param rings the number of rings
     * @return the VMs of the neighbors, at most two for each ring
     */
    static Set<VmId> neighbors(final VmId self, final Collection<VmId> members, final int rings) {
        final Set<VmId> neighbors = new HashSet<>();
        for (int ring = 0; ring < rings; ring++) {
            addFromRing(self, members, ring, neighbors);
        }
        return neighbors;
    }

    private static void addFromRing(
            final VmId self,
            final Collection<VmId> members,
            final int ring,
            final Set<VmId> neighbors) {
        final long own = StableHash.of(self, ring);
        VmId successor = null;
        VmId predecessor = null;
        long nearestAhead = 0;
        long nearestBehind = 0;
        for (final VmId member : members) {
            if (member.equals(self)) {
                continue;
            }
            // Unsigned distances wrap around, so the first and the last of a ring are neighbors.
            final long hash = StableHash.of(member, ring);
            final long ahead = hash - own;
            final long behind = own - hash;
            if (successor == null || Long.compareUnsigned(ahead, nearestAhead) < 0) {
                successor = member;
                nearestAhead = ahead;
            }
            if (predecessor == null || Long.compareUnsigned(behind, nearestBehind) < 0) {
                predecessor = member;
                nearestBehind = behind;
            }
        }
        if (successor != null) {
            neighbors.add(successor);
            neighbors.add(predecessor);
        }
    }
}
