package org.whinhead.membership;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.VmId;

/**
 * Collects leaving notices to forward to the peers at the next tick.
 *
 * <p>When many VMs are reclaimed together, the cloud may send one notice for each VM. Forwarded one
 * by one, these would put hundreds of messages on every link. Therefore notices between two ticks
 * are merged, and a peer is not sent the VMs that it announced itself.
 */
final class AnnouncementQueue {

    private final Map<Instant, Set<VmId>> mPending = new HashMap<>();
    private final Map<VmId, Set<VmId>> mKnownByPeer = new HashMap<>();

    /** Adds VMs; ends are rounded up to a second so that VMs reclaimed together share a notice. */
    void add(final Set<VmId> vms, final Instant goneBy) {
        final Instant second = goneBy.truncatedTo(ChronoUnit.SECONDS);
        final Instant rounded = second.equals(goneBy) ? goneBy : second.plusSeconds(1);
        mPending.computeIfAbsent(rounded, end -> new HashSet<>()).addAll(vms);
    }

    /** Records that a peer already knows about VMs; has no effect while the queue is empty. */
    void markKnown(final VmId peer, final Set<VmId> vms) {
        if (!mPending.isEmpty()) {
            mKnownByPeer.computeIfAbsent(peer, id -> new HashSet<>()).addAll(vms);
        }
    }

    /** Returns the pending notices without the VMs that the peer already knows about. */
    List<LeavingNotice> noticesFor(final VmId peer) {
        final Set<VmId> known = mKnownByPeer.getOrDefault(peer, Set.of());
        final List<LeavingNotice> notices = new ArrayList<>();
        mPending.forEach(
                (goneBy, vms) -> {
                    final Set<VmId> unknown = new HashSet<>(vms);
                    unknown.removeAll(known);
                    if (!unknown.isEmpty()) {
                        notices.add(new LeavingNotice(unknown, goneBy));
                    }
                });
        return notices;
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    void clear() {
        mPending.clear();
        mKnownByPeer.clear();
    }
}
