package org.whinhead.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.whinhead.api.model.VmId;

/**
 * Chooses whom a daemon talks to: its successor and predecessor on several rings, each ring ordered
 * by another hash. Both ends of a link choose each other, and every daemon chooses alike.
 */
final class Overlay {

    private Overlay() {}

    /**
     * Returns the neighbours of a daemon.
     *
     * @param self the daemon's VM
     * @param members all VMs in the overlay; whether the daemon's own is among them does not matter
     * @param rings how many rings there are
     * @return at most two neighbours a ring
     */
    static Set<VmId> neighbors(final VmId self, final Collection<VmId> members, final int rings) {
        final Set<VmId> neighbours = new HashSet<>();
        for (int ring = 0; ring < rings; ring++) {
            addFromRing(self, members, ring, neighbours);
        }
        return neighbours;
    }

    private static void addFromRing(
            final VmId self,
            final Collection<VmId> members,
            final int ring,
            final Set<VmId> neighbours) {
        final long own = StableHash.of(self, ring);
        VmId successor = null;
        VmId predecessor = null;
        long nearestAhead = 0;
        long nearestBehind = 0;
        for (final VmId member : members) {
            if (member.equals(self)) {
                continue;
            }
            // Unsigned distances wrap round, so the first and the last of a ring are neighbours.
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
            neighbours.add(successor);
            neighbours.add(predecessor);
        }
    }
}
