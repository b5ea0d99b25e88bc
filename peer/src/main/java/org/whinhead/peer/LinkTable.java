package org.whinhead.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;

/** The links to all peers. Thread-safe. */
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

    /** Returns the link to a peer and sets its address; creates the link if there is none. */
    PeerLink getOrCreate(final DaemonAddress address) {
        final PeerLink link = getOrCreate(address.vm());
        link.address(address);
        return link;
    }

    /** Returns the link to a peer, or creates it without an address, which replies don't need. */
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

    /** Drops the replies whose connection ended; the requesters get a timeout. */
    void dropReplies(final PeerLink link) {
        mCounters.countDropped(link.queue().dropReplies());
    }
}
