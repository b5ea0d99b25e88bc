package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** The VMs that a daemon knows, with the facts that determine their states. */
final class VmRegistry {

    /** The time that a gone VM stays in the view, for work that still waits for it. */
    static final Duration GONE_RETENTION = Duration.ofMinutes(10);

    private static final long LEAVING_SALT = Long.MIN_VALUE;

    private final DaemonMember mSelf;
    private final Map<VmId, VmFacts> mFacts = new HashMap<>();
    private final Map<VmId, DaemonMember> mDaemons = new HashMap<>();
    private final Map<EndpointId, Endpoint> mEndpoints = new HashMap<>();
    private final Set<VmId> mSelfDescribed = new HashSet<>();
    private Instant mNewestList = Instant.MIN;
    private boolean mChanged = true;
    private long mDigest;
    private boolean mDigestStale = true;

    VmRegistry(final DaemonMember self, final Instant now) {
        mSelf = self;
        mDaemons.put(self.id(), self);
        mFacts.put(self.id(), new VmFacts(self.id(), now));
    }

    /** Applies a VM list unless it is empty or not newer than the newest one applied. */
    void applyList(final VmListSnapshot list, final Instant now) {
        // A platform that has just restarted may list nothing; applied, all work would be given up.
        final boolean empty = list.daemons().isEmpty() && list.endpoints().isEmpty();
        if (empty || !list.asOf().isAfter(mNewestList)) {
            return;
        }
        mNewestList = list.asOf();
        final Set<VmId> listedVms = new HashSet<>();
        for (final DaemonMember member : list.daemons()) {
            listedVms.add(member.id());
            applyListedState(member.id(), member.vm().state(), now);
            if (!mSelfDescribed.contains(member.id())) {
                addDaemon(member);
            }
        }
        for (final Endpoint endpoint : list.endpoints()) {
            listedVms.add(endpoint.vm().id());
            applyListedState(endpoint.vm().id(), endpoint.vm().state(), now);
            final Endpoint before = mEndpoints.put(endpoint.id(), endpoint);
            mChanged |= !endpoint.equals(before);
        }
        for (final VmFacts facts : mFacts.values()) {
            if (!listedVms.contains(facts.vm()) && !facts.vm().equals(mSelf.id())) {
                final VmState before = facts.state();
                facts.recordMissing(list.asOf(), now);
                markChanged(before != facts.state());
            }
        }
    }

    private void applyListedState(final VmId vm, final VmState state, final Instant now) {
        final VmFacts facts = getOrCreateFacts(vm, now);
        final VmState before = facts.state();
        facts.recordListed(state != VmState.LIVE);
        markChanged(before != facts.state());
    }

    /**
     * Records a daemon's description of itself, which takes precedence over the VM list's, unless
     * its VM is gone. Returns whether the daemon was unknown before.
     */
    boolean addSelfDescribed(final DaemonMember member, final Instant now) {
        if (getOrCreateFacts(member.id(), now).isGone()) {
            return false;
        }
        mSelfDescribed.add(member.id());
        return addDaemon(member);
    }

    private boolean addDaemon(final DaemonMember member) {
        if (member.id().equals(mSelf.id())) {
            return false;
        }
        // The state is kept in the facts, so a list that says "leaving" does not change the member.
        final DaemonMember stateless = member.withState(VmState.LIVE);
        final DaemonMember before = mDaemons.put(member.id(), stateless);
        mChanged |= !stateless.equals(before);
        return before == null;
    }

    /** Records a leaving notice and returns the VMs that were not announced before. */
    Set<VmId> recordAnnouncement(final LeavingNotice notice, final Instant now) {
        final Set<VmId> newVms = new HashSet<>();
        // If the announced end is longer ago than the retention, the VMs may already be removed.
        if (notice.goneBy().plus(GONE_RETENTION).isBefore(now)) {
            return newVms;
        }
        for (final VmId vm : notice.vms()) {
            if (getOrCreateFacts(vm, now).recordAnnouncement(notice.goneBy())) {
                newVms.add(vm);
            }
        }
        markChanged(!newVms.isEmpty());
        return newVms;
    }

    boolean recordAlive(final VmId vm, final long incarnation) {
        final VmFacts facts = mFacts.get(vm);
        if (facts == null) {
            return false;
        }
        final boolean wasSuspected = facts.isSuspected();
        final boolean isNew = facts.recordAlive(incarnation);
        markChanged(wasSuspected != facts.isSuspected());
        return isNew;
    }

    boolean recordSuspicion(final VmId vm, final long incarnation) {
        final VmFacts facts = mFacts.get(vm);
        if (facts == null || !mDaemons.containsKey(vm) || vm.equals(mSelf.id())) {
            return false;
        }
        final boolean isNew = facts.recordSuspicion(incarnation);
        markChanged(isNew);
        return isNew;
    }

    void recordMessage(final VmId vm, final Instant now) {
        final VmFacts facts = mFacts.get(vm);
        if (facts != null) {
            facts.recordMessage(now);
        }
    }

    /** Marks VMs as gone at their announced end and removes them after the retention time. */
    void expire(final Instant now) {
        final List<VmId> expired = new ArrayList<>();
        for (final VmFacts facts : mFacts.values()) {
            markChanged(facts.expire(now));
            if (facts.isGone() && facts.goneSince().plus(GONE_RETENTION).isBefore(now)) {
                expired.add(facts.vm());
            }
        }
        if (!expired.isEmpty()) {
            forget(new HashSet<>(expired));
        }
    }

    /**
     * Removes VMs. An older list cannot restore them, because only a list newer than the newest one
     * is applied.
     */
    private void forget(final Set<VmId> vms) {
        mFacts.keySet().removeAll(vms);
        mDaemons.keySet().removeAll(vms);
        mSelfDescribed.removeAll(vms);
        mEndpoints.values().removeIf(endpoint -> vms.contains(endpoint.vm().id()));
        markChanged(true);
    }

    private VmFacts getOrCreateFacts(final VmId vm, final Instant now) {
        return mFacts.computeIfAbsent(vm, id -> new VmFacts(id, now));
    }

    private void markChanged(final boolean changed) {
        mChanged |= changed;
        mDigestStale |= changed;
    }

    /** Returns whether the view changed since the last call. */
    boolean pollChanged() {
        final boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    VmFacts facts(final VmId vm) {
        return mFacts.get(vm);
    }

    /** Returns the facts of all VMs, in no particular order. */
    Collection<VmFacts> allFacts() {
        return mFacts.values();
    }

    Map<VmId, DaemonMember> daemons() {
        return mDaemons;
    }

    Map<EndpointId, Endpoint> endpoints() {
        return mEndpoints;
    }

    VmState state(final VmId vm) {
        final VmFacts facts = mFacts.get(vm);
        return facts == null ? VmState.GONE : facts.state();
    }

    /** Returns a hash of the leaving VMs and suspicions; equal sets have equal hashes. */
    long digest() {
        if (mDigestStale) {
            mDigest = 0;
            for (final VmFacts facts : mFacts.values()) {
                mDigest ^= digestOf(facts);
            }
            mDigestStale = false;
        }
        return mDigest;
    }

    private static long digestOf(final VmFacts facts) {
        if (facts.isGone()) {
            return 0;
        }
        long hash = 0;
        if (facts.isAnnounced()) {
            hash ^= StableHash.of(facts.vm(), LEAVING_SALT);
        }
        if (facts.isSuspected()) {
            hash ^= StableHash.of(facts.vm(), facts.suspectedIncarnation());
        }
        return hash;
    }

    /** Returns all leaving notices and suspicions as rumors. */
    List<Rumor> rumors() {
        final List<Rumor> rumors = new ArrayList<>();
        for (final VmFacts facts : mFacts.values()) {
            if (facts.isGone()) {
                continue;
            }
            if (facts.isAnnounced()) {
                rumors.add(new Rumor.Leaving(facts.vm(), facts.goneBy()));
            }
            if (facts.isSuspected()) {
                rumors.add(new Rumor.Suspected(facts.vm(), facts.suspectedIncarnation()));
            }
        }
        return rumors;
    }
}
