package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.VmId;

/**
 * Spreads membership facts by gossip: leaving notices at the next tick, rumors in batches, and the
 * full state to a peer whose heartbeat has a different digest.
 */
final class Dissemination {

    private static final int HEARTBEATS_PER_DESCRIPTION = 8;

    private final MembershipSettings mSettings;
    private final DaemonMember mSelf;
    private final VmRegistry mRegistry;
    private final GossipLinks mLinks;
    private final MembershipActions mActions;
    private final RumorQueue mRumors = new RumorQueue();
    private final AnnouncementQueue mAnnouncements = new AnnouncementQueue();
    private final Map<VmId, Integer> mHeartbeatsSent = new HashMap<>();
    private Instant mNextHeartbeat;
    private Instant mNextGossip;
    private Instant mDigestChangedAt;
    private Instant mLastFullState = Instant.MIN;
    private long mLastDigest;
    private long mIncarnation;

    Dissemination(
            final MembershipSettings settings,
            final DaemonMember self,
            final long incarnation,
            final VmRegistry registry,
            final GossipLinks links,
            final MembershipActions actions) {
        mSettings = settings;
        mSelf = self;
        mIncarnation = incarnation;
        mRegistry = registry;
        mLinks = links;
        mActions = actions;
    }

    /**
     * Schedules the first heartbeat and gossip at random times within their intervals, so that
     * daemons that start together don't send at the same moment.
     */
    void scheduleFirstSends(final Instant now, final RandomGenerator random) {
        final long spread = mSettings.heartbeatInterval().toMillis();
        mNextHeartbeat = now.plusMillis(random.nextLong(spread));
        mNextGossip = now.plusMillis(random.nextLong(mSettings.gossipInterval().toMillis()));
        mDigestChangedAt = now;
    }

    long incarnation() {
        return mIncarnation;
    }

    void tick(final Instant now) {
        if (mRegistry.digest() != mLastDigest) {
            mLastDigest = mRegistry.digest();
            mDigestChangedAt = now;
        }
        sendAnnouncements();
        if (!now.isBefore(mNextHeartbeat)) {
            mNextHeartbeat = now.plus(mSettings.heartbeatInterval());
            sendHeartbeats();
        }
        if (!now.isBefore(mNextGossip)) {
            mNextGossip = now.plus(mSettings.gossipInterval());
            sendRumors();
        }
    }

    private void sendHeartbeats() {
        final List<DaemonMember> links = mLinks.links();
        final Set<VmId> linked = new HashSet<>();
        links.forEach(link -> linked.add(link.id()));
        mHeartbeatsSent.keySet().retainAll(linked);
        for (final DaemonMember link : links) {
            final int sent = mHeartbeatsSent.merge(link.id(), 1, Integer::sum);
            final boolean describesSelf = sent % HEARTBEATS_PER_DESCRIPTION == 1;
            final Optional<DaemonMember> member =
                    describesSelf ? Optional.of(mSelf) : Optional.empty();
            final long digest = mRegistry.digest();
            mActions.send(
                    link.address(), new MembershipMessage.Heartbeat(mIncarnation, digest, member));
        }
    }

    private void sendRumors() {
        final List<Rumor> rumors = mRumors.pollBatch();
        if (rumors.isEmpty()) {
            return;
        }
        final MembershipMessage gossip = new MembershipMessage.Gossip(rumors, false);
        for (final DaemonMember link : mLinks.links()) {
            mActions.send(link.address(), gossip);
        }
    }

    /** Records a leaving notice and queues its newly announced VMs for the next tick. */
    void receiveNotice(final LeavingNotice notice, final Optional<VmId> from, final Instant now) {
        final Set<VmId> newVms = mRegistry.recordAnnouncement(notice, now);
        if (!newVms.isEmpty()) {
            mAnnouncements.add(newVms, notice.goneBy());
        }
        from.ifPresent(peer -> mAnnouncements.markKnown(peer, notice.vms()));
    }

    private void sendAnnouncements() {
        if (mAnnouncements.isEmpty()) {
            return;
        }
        for (final DaemonMember link : mLinks.links()) {
            for (final LeavingNotice notice : mAnnouncements.noticesFor(link.id())) {
                mActions.send(link.address(), new MembershipMessage.Leaving(notice));
            }
        }
        mAnnouncements.clear();
    }

    void suspect(final VmId vm) {
        final long incarnation = mRegistry.facts(vm).incarnation();
        if (mRegistry.recordSuspicion(vm, incarnation)) {
            mRumors.add(new Rumor.Suspected(vm, incarnation));
        }
    }

    void receiveAlive(final VmId vm, final long incarnation) {
        final VmFacts facts = mRegistry.facts(vm);
        final boolean wasSuspected = facts != null && facts.isSuspected();
        if (mRegistry.recordAlive(vm, incarnation) && wasSuspected) {
            mRumors.add(new Rumor.Alive(vm, incarnation));
        }
    }

    void receiveHeartbeat(
            final VmId from, final MembershipMessage.Heartbeat heartbeat, final Instant now) {
        // A daemon may describe only itself; otherwise it could redirect the callers and peers of
        // another daemon to a wrong address.
        heartbeat
                .member()
                .filter(member -> member.id().equals(from))
                .ifPresent(member -> receiveDescription(member, heartbeat.incarnation(), now));
        receiveAlive(from, heartbeat.incarnation());
        final VmFacts facts = mRegistry.facts(from);
        if (facts != null && facts.isSuspected()) {
            // Only the peer itself can end the suspicion, by a higher incarnation.
            final Rumor rumor = new Rumor.Suspected(from, facts.suspectedIncarnation());
            send(from, new MembershipMessage.Gossip(List.of(rumor), false));
        } else if (heartbeat.digest() != mRegistry.digest()) {
            sendFullState(from, now);
        }
    }

    /**
     * Sends all known rumors, to repair lost messages. Sends nothing while the own digest has
     * changed within the last heartbeat interval, because rumors may still be spreading, and sends
     * to at most one peer per interval, because after a partition the digests of all neighbors
     * differ at once.
     */
    private void sendFullState(final VmId to, final Instant now) {
        final Duration interval = mSettings.heartbeatInterval();
        final boolean digestStable = !now.isBefore(mDigestChangedAt.plus(interval));
        if (digestStable
                && (mLastFullState.equals(Instant.MIN)
                        || !now.isBefore(mLastFullState.plus(interval)))) {
            mLastFullState = now;
            send(to, new MembershipMessage.Gossip(mRegistry.rumors(), true));
        }
    }

    void receiveGossip(final VmId from, final MembershipMessage.Gossip gossip, final Instant now) {
        final Map<Instant, Set<VmId>> leaving = new HashMap<>();
        for (final Rumor rumor : gossip.rumors()) {
            if (rumor instanceof Rumor.Leaving notice) {
                leaving.computeIfAbsent(notice.goneBy(), goneBy -> new HashSet<>())
                        .add(notice.vm());
            } else {
                receiveRumor(rumor, now);
            }
        }
        leaving.forEach(
                (goneBy, vms) ->
                        receiveNotice(new LeavingNotice(vms, goneBy), Optional.of(from), now));
        if (gossip.fullState()) {
            replyWithMissingRumors(from, gossip.rumors());
        }
    }

    private void receiveRumor(final Rumor rumor, final Instant now) {
        if (rumor instanceof Rumor.Suspected suspected) {
            receiveSuspicion(suspected);
        } else if (rumor instanceof Rumor.Alive alive) {
            // Forwarded even if the suspicion is unknown here: peers further on may know it.
            if (mRegistry.recordAlive(alive.vm(), alive.incarnation())) {
                mRumors.add(alive);
            }
        } else if (rumor instanceof Rumor.Joined joined) {
            receiveDescription(joined.member(), joined.incarnation(), now);
        }
    }

    private void receiveSuspicion(final Rumor.Suspected suspected) {
        if (suspected.vm().equals(mSelf.id())) {
            if (suspected.incarnation() >= mIncarnation) {
                mIncarnation = suspected.incarnation() + 1;
                mRumors.add(new Rumor.Alive(mSelf.id(), mIncarnation));
            }
        } else if (mRegistry.recordSuspicion(suspected.vm(), suspected.incarnation())) {
            mRumors.add(suspected);
        }
    }

    private void receiveDescription(
            final DaemonMember member, final long incarnation, final Instant now) {
        if (mRegistry.addSelfDescribed(member, now)) {
            mRumors.add(new Rumor.Joined(member, incarnation));
        }
        receiveAlive(member.id(), incarnation);
    }

    /** Sends the rumors and the newer incarnations that the peer's full state lacks. */
    private void replyWithMissingRumors(final VmId to, final List<Rumor> peerRumors) {
        final Set<Rumor> known = new HashSet<>(peerRumors);
        final List<Rumor> missing = new ArrayList<>();
        for (final Rumor rumor : mRegistry.rumors()) {
            if (!known.contains(rumor)) {
                missing.add(rumor);
            }
        }
        for (final Rumor rumor : peerRumors) {
            final VmFacts facts = mRegistry.facts(rumor.vm());
            if (rumor instanceof Rumor.Suspected suspected
                    && facts != null
                    && facts.incarnation() > suspected.incarnation()) {
                missing.add(new Rumor.Alive(rumor.vm(), facts.incarnation()));
            }
        }
        if (!missing.isEmpty()) {
            send(to, new MembershipMessage.Gossip(missing, false));
        }
    }

    private void send(final VmId to, final MembershipMessage message) {
        final DaemonMember member = mRegistry.daemons().get(to);
        if (member != null) {
            mActions.send(member.address(), message);
        }
    }
}
