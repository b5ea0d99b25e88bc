package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/**
 * Tracks which VMs are live, suspect, leaving or gone. Not thread-safe. VM lists, notices, peers'
 * messages and ticks are passed in together with the current time; outgoing messages and new views
 * are passed to the actions.
 */
public final class Membership {

    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_TICK_GAP_DIVISOR = 2;

    private final MembershipSettings mSettings;
    private final DaemonMember mSelf;
    private final RandomGenerator mRandom;
    private final MembershipActions mActions;
    private final VmRegistry mRegistry;
    private final FailureDetector mDetector;
    private final ProbeRelay mRelay = new ProbeRelay();
    private final ViewBuilder mViewBuilder;
    private final GossipLinks mLinks;
    private final Dissemination mDissemination;
    private MembershipView mView;
    private Instant mLastTick;

    /**
     * Creates the membership of one daemon.
     *
     * @param settings the intervals and timeouts
     * @param self the own daemon
     * @param incarnation a number above that of any earlier daemon on the same VM
     * @param random the random generator for send times and indirect probes
     * @param actions the receiver of outgoing messages and new views
     * @param now the current time
     */
    public Membership(
            final MembershipSettings settings,
            final DaemonMember self,
            final long incarnation,
            final RandomGenerator random,
            final MembershipActions actions,
            final Instant now) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mSelf = Objects.requireNonNull(self, "self");
        mRandom = Objects.requireNonNull(random, "random");
        mActions = Objects.requireNonNull(actions, "actions");
        mRegistry = new VmRegistry(self, now);
        mDetector = new FailureDetector(settings);
        mViewBuilder = new ViewBuilder(self, mRegistry, settings.maximumTimeout());
        mLinks = new GossipLinks(settings, self, mRegistry);
        mDissemination = new Dissemination(settings, self, incarnation, mRegistry, mLinks, actions);
        mDissemination.scheduleFirstSends(now, mRandom);
        mLastTick = now;
        mView = mViewBuilder.build(now);
    }

    /** Returns the newest view. */
    public MembershipView view() {
        return mView;
    }

    /**
     * Returns the announced end of a VM.
     *
     * @param vm the VM
     * @return the latest time at which the VM stops, or empty if none was announced
     */
    public Optional<Instant> goneBy(final VmId vm) {
        return Optional.ofNullable(mRegistry.facts(vm)).map(VmFacts::goneBy);
    }

    /** Returns a heartbeat with the own description, for a peer that does not know this daemon. */
    public MembershipMessage.Heartbeat ownHeartbeat() {
        return new MembershipMessage.Heartbeat(
                mDissemination.incarnation(), mRegistry.digest(), Optional.of(mSelf));
    }

    /**
     * Applies the platform's VM list.
     *
     * @param list the list; ignored if it is empty or not newer than the newest list applied
     * @param now the current time
     */
    public void listReceived(final VmListSnapshot list, final Instant now) {
        mRegistry.applyList(list, now);
        publish(now);
    }

    /**
     * Records the cloud's notice that VMs are reclaimed; the peers are informed at the next tick.
     *
     * @param notice the VMs and their end
     * @param now the current time
     */
    public void noticeReceived(final LeavingNotice notice, final Instant now) {
        mDissemination.receiveNotice(notice, Optional.empty(), now);
        publish(now);
    }

    /**
     * Announces the graceful shutdown of the own daemon.
     *
     * @param goneBy the latest time at which the own VM stops
     * @param now the current time
     */
    public void shutdownStarted(final Instant goneBy, final Instant now) {
        noticeReceived(new LeavingNotice(Set.of(mSelf.id()), goneBy), now);
    }

    /**
     * Handles a message from a peer.
     *
     * @param from the sender's VM, verified by its certificate
     * @param message the message
     * @param now the current time
     */
    public void messageReceived(
            final VmId from, final MembershipMessage message, final Instant now) {
        if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            receiveHeartbeat(from, heartbeat, now);
        } else if (message instanceof MembershipMessage.Leaving leaving) {
            mDissemination.receiveNotice(leaving.notice(), Optional.of(from), now);
        } else if (message instanceof MembershipMessage.Gossip gossip) {
            mDissemination.receiveGossip(from, gossip, now);
        } else if (message instanceof MembershipMessage.Probe probe) {
            receiveProbe(from, probe, now);
        } else if (message instanceof MembershipMessage.ProbeReply reply) {
            mDetector.recordProbeReply(reply.target(), reply.nonce(), now);
            mDissemination.receiveAlive(reply.target(), reply.incarnation());
        }
        recordMessage(from, now);
        publish(now);
    }

    /**
     * Sends messages and probes that are due and expires VMs. To be called several times per gossip
     * interval.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        final Duration gap = Duration.between(mLastTick, now);
        final Duration maximumGap = mSettings.minimumTimeout().dividedBy(MAX_TICK_GAP_DIVISOR);
        mLastTick = now;
        if (gap.compareTo(maximumGap) > 0) {
            mDetector.resetSilences(now);
        }
        mRegistry.expire(now);
        mRelay.expire(now);
        if (mLinks.refresh(now)) {
            mDetector.setNeighbors(mLinks.neighbors(), now);
        }
        mDissemination.tick(now);
        suspectUnanswered(now);
        probeSilent(now);
        publish(now);
    }

    private void receiveHeartbeat(
            final VmId from, final MembershipMessage.Heartbeat heartbeat, final Instant now) {
        mDetector.recordHeartbeat(from, now);
        mLinks.recordHeartbeat(from, now);
        mDissemination.receiveHeartbeat(from, heartbeat, now);
    }

    private void recordMessage(final VmId from, final Instant now) {
        mRegistry.recordMessage(from, now);
        mDetector.recordMessage(from, now);
        for (final ProbeRelay.RelayedProbe relayed : mRelay.removeFor(from)) {
            replyAlive(relayed.requester(), from, relayed.nonce());
        }
    }

    private void receiveProbe(
            final VmId from, final MembershipMessage.Probe probe, final Instant now) {
        final VmId target = probe.target();
        if (target.equals(mSelf.id())) {
            send(
                    from,
                    new MembershipMessage.ProbeReply(
                            target, probe.nonce(), mDissemination.incarnation()));
        } else if (mDetector.hasRecentMessage(target, now)) {
            replyAlive(from, target, probe.nonce());
        } else if (mRelay.add(from, target, probe.nonce(), now.plus(mSettings.probeTimeout()))) {
            send(target, new MembershipMessage.Probe(target, probe.nonce()));
        }
    }

    private void replyAlive(final VmId requester, final VmId target, final long nonce) {
        final VmFacts facts = mRegistry.facts(target);
        final long incarnation = facts == null ? 0 : facts.incarnation();
        send(requester, new MembershipMessage.ProbeReply(target, nonce, incarnation));
    }

    private void suspectUnanswered(final Instant now) {
        for (final VmId vm : mDetector.takeUnanswered(now)) {
            if (mRegistry.state(vm) == VmState.LIVE) {
                mDissemination.suspect(vm);
            }
        }
    }

    private void probeSilent(final Instant now) {
        for (final FailureDetector.Probe started : mDetector.startProbes(now)) {
            final VmId silent = started.target();
            if (mRegistry.state(silent) != VmState.LIVE) {
                continue;
            }
            final MembershipMessage probe = new MembershipMessage.Probe(silent, started.nonce());
            send(silent, probe);
            for (final VmId helper : helpersFor(silent)) {
                send(helper, probe);
            }
        }
    }

    private Set<VmId> helpersFor(final VmId silent) {
        final List<DaemonMember> live =
                mRegistry.daemons().values().stream()
                        .filter(member -> mRegistry.state(member.id()) == VmState.LIVE)
                        .filter(member -> !member.id().equals(mSelf.id()))
                        .filter(member -> !member.id().equals(silent))
                        .toList();
        final Set<VmId> helpers = new HashSet<>();
        final int wanted = Math.min(INDIRECT_PROBES, live.size());
        while (helpers.size() < wanted) {
            helpers.add(live.get(mRandom.nextInt(live.size())).id());
        }
        return helpers;
    }

    private void send(final VmId to, final MembershipMessage message) {
        final DaemonMember member = mRegistry.daemons().get(to);
        if (member != null) {
            mActions.send(member.address(), message);
        }
    }

    private void publish(final Instant now) {
        if (mRegistry.pollChanged()) {
            mView = mViewBuilder.build(now);
            mActions.viewChanged(mView);
        }
    }
}
