package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/**
 * Selects the peers that a daemon sends to: its neighbors in the overlay, and the daemons that
 * chose it as their neighbor.
 */
final class GossipLinks {

    private static final int INBOUND_TIMEOUT_HEARTBEATS = 5;

    private final MembershipSettings mSettings;
    private final DaemonMember mSelf;
    private final VmRegistry mRegistry;
    private final Map<VmId, Instant> mInboundNeighbors = new HashMap<>();
    private Set<VmId> mNeighbors = Set.of();
    private Set<VmId> mKnown = Set.of();
    private Set<VmId> mLive = Set.of();

    GossipLinks(
            final MembershipSettings settings, final DaemonMember self, final VmRegistry registry) {
        mSettings = settings;
        mSelf = self;
        mRegistry = registry;
    }

    /**
     * Recomputes the neighbors if the members changed, and returns whether it did.
     *
     * <p>The neighbors come from two overlays. The overlay of all members keeps links across a
     * network partition, so that its end is detected; the overlay of the live members stays
     * connected on the own side.
     */
    boolean refresh(final Instant now) {
        final Duration inboundTimeout =
                mSettings.heartbeatInterval().multipliedBy(INBOUND_TIMEOUT_HEARTBEATS);
        mInboundNeighbors
                .values()
                .removeIf(lastHeartbeat -> lastHeartbeat.plus(inboundTimeout).isBefore(now));
        final Set<VmId> known = new HashSet<>();
        final Set<VmId> live = new HashSet<>();
        for (final VmId vm : mRegistry.daemons().keySet()) {
            final VmState state = mRegistry.state(vm);
            if (state != VmState.GONE) {
                known.add(vm);
            }
            if (state == VmState.LIVE) {
                live.add(vm);
            }
        }
        if (known.equals(mKnown) && live.equals(mLive)) {
            return false;
        }
        mKnown = known;
        mLive = live;
        mNeighbors = Overlay.neighbors(mSelf.id(), known, mSettings.rings());
        if (live.size() < known.size()) {
            mNeighbors.addAll(Overlay.neighbors(mSelf.id(), live, mSettings.rings()));
        }
        return true;
    }

    Set<VmId> neighbors() {
        return mNeighbors;
    }

    void recordHeartbeat(final VmId vm, final Instant now) {
        mInboundNeighbors.put(vm, now);
    }

    /** Returns the peers to send to, without VMs that are gone or whose address is not known. */
    List<DaemonMember> links() {
        final Set<VmId> ids = new HashSet<>(mNeighbors);
        ids.addAll(mInboundNeighbors.keySet());
        final List<DaemonMember> links = new ArrayList<>(ids.size());
        for (final VmId vm : ids) {
            final DaemonMember member = mRegistry.daemons().get(vm);
            if (member != null && mRegistry.state(vm) != VmState.GONE) {
                links.add(member);
            }
        }
        return links;
    }
}
