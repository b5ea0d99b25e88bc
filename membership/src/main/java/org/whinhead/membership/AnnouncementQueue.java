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
 * Announcements to pass on at the next tick.
 *
 * <p>Guards against a wave that comes as one notice for each VM: passed on one by one, hundreds of
 * messages would go out on every link. What comes between two ticks leaves as one message, and a
 * peer is not told what it has just told itself.
 */
final class AnnouncementQueue {

    private final Map<Instant, Set<VmId>> mPending = new HashMap<>();
    private final Map<VmId, Set<VmId>> mKnownByPeer = new HashMap<>();

    /** Adds VMs; ends are rounded up to a second, so that a wave's VMs share one. */
    void add(final Set<VmId> vms, final Instant goneBy) {
        final Instant second = goneBy.truncatedTo(ChronoUnit.SECONDS);
        final Instant rounded = second.equals(goneBy) ? goneBy : second.plusSeconds(1);
        mPending.computeIfAbsent(rounded, end -> new HashSet<>()).addAll(vms);
    }

    /** Notes that a peer knows of VMs, for as long as something waits. */
    void markKnown(final VmId peer, final Set<VmId> vms) {
        if (!mPending.isEmpty()) {
            mKnownByPeer.computeIfAbsent(peer, id -> new HashSet<>()).addAll(vms);
        }
    }

    /** Returns what a peer has yet to be told. */
    List<LeavingNotice> noticesFor(final VmId peer) {
        final Set<VmId> told = mKnownByPeer.getOrDefault(peer, Set.of());
        final List<LeavingNotice> notices = new ArrayList<>();
        mPending.forEach(
                (goneBy, vms) -> {
                    final Set<VmId> news = new HashSet<>(vms);
                    news.removeAll(told);
                    if (!news.isEmpty()) {
                        notices.add(new LeavingNotice(news, goneBy));
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
