package org.whinhead.membership;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** Runs several memberships on a simulated network and clock. */
final class FakeCluster {

    static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration DELAY = Duration.ofMillis(2);

    private final Map<VmId, Membership> mRunning = new LinkedHashMap<>();
    private final List<DaemonMember> mMembers = new ArrayList<>();
    private final PriorityQueue<InTransitMessage> mInTransit =
            new PriorityQueue<>(
                    Comparator.comparing(InTransitMessage::arrives)
                            .thenComparing(InTransitMessage::number));
    private BiFunction<VmId, VmId, Optional<Duration>> mNetwork = (a, b) -> Optional.of(DELAY);
    private Instant mNow = START;
    private long mSent;
    private final Map<String, Integer> mAnnouncements = new LinkedHashMap<>();

    /** Starts daemons, each with a list of all: odd ones in region east, even ones in west. */
    FakeCluster(final int size) {
        for (int i = 0; i < size; i++) {
            mMembers.add(member("vm-" + i, i % 2 == 0 ? "west" : "east"));
        }
        for (final DaemonMember member : mMembers) {
            start(member);
        }
        deliverList(mNow);
    }

    static DaemonMember member(final String id, final String region) {
        final VmId vmId = new VmId(id);
        final FailureDomain domain = new FailureDomain(region, region + "-1");
        final Vm vm = new Vm(vmId, "10.0.0.1", domain, "s", Billing.RECLAIMABLE, VmState.LIVE);
        final URI uri = URI.create("http://10.0.0.1/" + id);
        return new DaemonMember(vm, new DaemonAddress(vmId, "10.0.0.1", 1), uri);
    }

    private void start(final DaemonMember member) {
        final MembershipActions actions =
                new MembershipActions() {
                    @Override
                    public void send(final DaemonAddress to, final MembershipMessage message) {
                        transmit(member.id(), to.vm(), message);
                    }

                    @Override
                    public void viewChanged(final MembershipView view) {
                        // The tests read the newest view from the membership.
                    }
                };
        final SplittableRandom random = new SplittableRandom(mRunning.size());
        mRunning.put(
                member.id(),
                new Membership(MembershipSettings.defaults(), member, 1, random, actions, mNow));
    }

    private void transmit(final VmId from, final VmId to, final MembershipMessage message) {
        mSent++;
        if (message instanceof MembershipMessage.Leaving) {
            mAnnouncements.merge(from + ">" + to, 1, Integer::sum);
        }
        final Optional<Duration> delay = mNetwork.apply(from, to);
        delay.ifPresent(
                d -> mInTransit.add(new InTransitMessage(mNow.plus(d), mSent, from, to, message)));
    }

    void network(final BiFunction<VmId, VmId, Optional<Duration>> network) {
        mNetwork = network;
    }

    void heal() {
        mNetwork = (a, b) -> Optional.of(DELAY);
    }

    void kill(final VmId vm) {
        mRunning.remove(vm);
    }

    void deliverList(final Instant asOf) {
        final VmListSnapshot list = new VmListSnapshot(asOf, mMembers, List.of());
        mRunning.values().forEach(membership -> membership.listReceived(list, mNow));
    }

    void run(final Duration time) {
        final Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(TICK);
            while (!mInTransit.isEmpty() && !mInTransit.peek().arrives().isAfter(mNow)) {
                final InTransitMessage message = mInTransit.poll();
                final Membership receiver = mRunning.get(message.to());
                if (receiver != null) {
                    receiver.messageReceived(message.from(), message.message(), mNow);
                }
            }
            List.copyOf(mRunning.values()).forEach(membership -> membership.tick(mNow));
        }
    }

    Instant now() {
        return mNow;
    }

    /** Returns the number of leaving announcements sent on each link that carried any. */
    Collection<Integer> announcementsPerLink() {
        return mAnnouncements.values();
    }

    long sent() {
        return mSent;
    }

    Membership membership(final int index) {
        return mRunning.get(id(index));
    }

    VmId id(final int index) {
        return mMembers.get(index).id();
    }

    /** Counts the pairs of running daemons in which the first sees the second in the state. */
    long countPairsSeeing(final VmState state) {
        return mRunning.values().stream()
                .flatMap(membership -> membership.view().daemons().stream())
                .filter(member -> mRunning.containsKey(member.id()))
                .filter(member -> member.vm().state() == state)
                .count();
    }

    /** Returns whether all running daemons see the VM in the state. */
    boolean allSee(final VmId vm, final VmState state) {
        return mRunning.values().stream()
                .allMatch(m -> m.view().daemon(vm).orElseThrow().vm().state() == state);
    }

    private record InTransitMessage(
            Instant arrives, long number, VmId from, VmId to, MembershipMessage message) {}
}
