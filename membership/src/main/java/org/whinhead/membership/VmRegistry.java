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

/** All VMs that a daemon knows, with the facts from which their states follow. */
final class VmRegistry {

    /** How long a VM that is gone stays in the view, for those who still wait for it. */
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

    /** Takes in a list; one that is not newer than the newest tells nothing new. */
    void applyList(final VmListSnapshot list, final Instant now) {
        // Guards against a platform that restarted and lists nothing: all work would be given up.
        final boolean empty = list.daemons().isEmpty() && list.endpoints().isEmpty();
        if (empty || !list.asOf().isAfter(mNewestList)) {
            return;
        }
        mNewestList = list.asOf();
        final Set<VmId> named = new HashSet<>();
        for (final DaemonMember member : list.daemons()) {
            named.add(member.id());
            applyListedState(member.id(), member.vm().state(), now);
            if (!mSelfDescribed.contains(member.id())) {
                addDaemon(member);
            }
        }
        for (final Endpoint endpoint : list.endpoints()) {
            named.add(endpoint.vm().id());
            applyListedState(endpoint.vm().id(), endpoint.vm().state(), now);
            final Endpoint before = mEndpoints.put(endpoint.id(), endpoint);
            mChanged |= !endpoint.equals(before);
        }
        for (final VmFacts facts : mFacts.values()) {
            if (!named.contains(facts.vm()) && !facts.vm().equals(mSelf.id())) {
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
     * Takes in a daemon's description of itself, which goes before the list's, unless its VM is
     * gone; tells whether the daemon was not known.
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
        // The state lives in the facts, so a list that says "leaving" is no change of the member.
        final DaemonMember stateless = member.withState(VmState.LIVE);
        final DaemonMember before = mDaemons.put(member.id(), stateless);
        mChanged |= !stateless.equals(before);
        return before == null;
    }

    /** Takes in an announcement and returns the VMs for which it is news. */
    Set<VmId> recordAnnouncement(final LeavingNotice notice, final Instant now) {
        final Set<VmId> news = new HashSet<>();
        // An announcement whose end has long passed is about a VM that may be forgotten already.
        if (notice.goneBy().plus(GONE_RETENTION).isBefore(now)) {
            return news;
        }
        for (final VmId vm : notice.vms()) {
            if (getOrCreateFacts(vm, now).recordAnnouncement(notice.goneBy())) {
                news.add(vm);
            }
        }
        markChanged(!news.isEmpty());
        return news;
    }

    boolean recordAlive(final VmId vm, final long incarnation) {
        final VmFacts facts = mFacts.get(vm);
        if (facts == null) {
            return false;
        }
        final boolean wasSuspected = facts.isSuspected();
        final boolean news = facts.recordAlive(incarnation);
        markChanged(wasSuspected != facts.isSuspected());
        return news;
    }

    boolean recordSuspicion(final VmId vm, final long incarnation) {
        final VmFacts facts = mFacts.get(vm);
        if (facts == null || !mDaemons.containsKey(vm) || vm.equals(mSelf.id())) {
            return false;
        }
        final boolean news = facts.recordSuspicion(incarnation);
        markChanged(news);
        return news;
    }

    void recordMessage(final VmId vm, final Instant now) {
        final VmFacts facts = mFacts.get(vm);
        if (facts != null) {
            facts.recordMessage(now);
        }
    }

    /** Ends VMs whose announced end has passed and forgets those that ended long ago. */
    void expire(final Instant now) {
        final List<VmId> forgotten = new ArrayList<>();
        for (final VmFacts facts : mFacts.values()) {
            markChanged(facts.expire(now));
            if (facts.isGone() && facts.goneSince().plus(GONE_RETENTION).isBefore(now)) {
                forgotten.add(facts.vm());
            }
        }
        if (!forgotten.isEmpty()) {
            forget(new HashSet<>(forgotten));
        }
    }

    /**
     * A later list cannot bring these back: a list that is not newer than the newest is dropped.
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

    /** Tells whether anything changed since the last call. */
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

    /** Returns a hash over announced leavings and suspicions, equal where those are equal. */
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

    /** Returns all that the digest is made of, as rumors. */
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
