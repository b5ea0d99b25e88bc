package org.whinhead.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;

/** What waits for each peer; safe for any thread. */
final class LinkTable {

    private final PeerSettings mSettings;
    private final PeerCounters mCounters;
    private final QueueBudget mBudget;
    private final Map<VmId, PeerLink> mLinks = new ConcurrentHashMap<>();

    LinkTable(final PeerSettings settings, final PeerCounters counters) {
        mSettings = settings;
        mCounters = counters;
        mBudget = new QueueBudget(settings.queue().bytesOfAll());
    }

    /** Returns the link to a peer whose address is known. */
    PeerLink getOrCreate(final DaemonAddress address) {
        final PeerLink link = getOrCreate(address.vm());
        link.address(address);
        return link;
    }

    /** Returns the link to a peer that called, so that no address is needed to answer it. */
    PeerLink getOrCreate(final VmId vm) {
        return mLinks.computeIfAbsent(vm, id -> new PeerLink(mSettings, id, mBudget));
    }

    Optional<PeerLink> find(final VmId vm) {
        return Optional.ofNullable(mLinks.get(vm));
    }

    void forget(final VmId vm) {
        final PeerLink link = mLinks.remove(vm);
        if (link != null) {
            link.queue().clear();
        }
    }

    /** Drops replies whose connection ended; those who asked see a timeout. */
    void dropReplies(final PeerLink link) {
        mCounters.countDropped(link.queue().dropReplies());
    }
}
