package org.whinhead.bench.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipSettings;
import org.whinhead.membership.VmListSnapshot;
import org.whinhead.peer.MembershipCodec;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** Simulates many daemons in one thread, with encoded messages and a simulated clock. */
final class MembershipSimulation {

    private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);
    private static final int DOMAINS = 6;
    private static final int DOMAINS_IN_REGION = 3;
    private static final int DAEMONS_AT_FULL_SIZE = 330;
    private static final int ENDPOINTS_AT_FULL_SIZE = 1_800;

    private final List<SimulatedMember> mDaemons = new ArrayList<>();
    private final Map<VmId, SimulatedMember> mById = new HashMap<>();
    private final List<DaemonMember> mMembers = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final SimulatedNetwork mNetwork;
    private final PriorityQueue<InFlightMessage> mInFlight =
            new PriorityQueue<>(
                    Comparator.comparing(InFlightMessage::arrives)
                            .thenComparing(InFlightMessage::number));
    private final PriorityQueue<SimulatedMember> mTicks =
            new PriorityQueue<>(Comparator.comparing(SimulatedMember::nextTick));
    private Instant mNow = START;
    private Instant mNextList = START;
    private long mMessages;
    private long mBytes;

    MembershipSimulation(
            final int daemons, final double slowShare, final SimulatedNetwork network) {
        mNetwork = network;
        for (int i = 0; i < daemons; i++) {
            mMembers.add(member(i));
        }
        final int endpoints = daemons * ENDPOINTS_AT_FULL_SIZE / DAEMONS_AT_FULL_SIZE;
        for (int i = 0; i < endpoints; i++) {
            mEndpoints.add(endpoint(i));
        }
        for (int i = 0; i < daemons; i++) {
            final boolean slow = i < slowShare * daemons;
            final SimulatedMember daemon =
                    new SimulatedMember(
                            mMembers.get(i), this, MembershipSettings.defaults(), slow, mNow);
            mDaemons.add(daemon);
            mById.put(daemon.member().id(), daemon);
            mTicks.add(daemon);
        }
    }

    private static Vm vm(final String name, final int index) {
        final int domain = index % DOMAINS;
        final String region = "region-" + domain / DOMAINS_IN_REGION;
        return new Vm(
                new VmId(name + "-" + (100_000 + index)),
                "10.0." + index / 250 + "." + (index % 250 + 1),
                new FailureDomain(region, "domain-" + domain),
                "entry-small",
                Billing.RECLAIMABLE,
                VmState.LIVE);
    }

    private static DaemonMember member(final int index) {
        final Vm vm = vm("entry", index);
        return new DaemonMember(
                vm,
                new DaemonAddress(vm.id(), vm.host(), 7400),
                URI.create("http://" + vm.host() + ":8080"));
    }

    private static Endpoint endpoint(final int index) {
        final Vm vm = vm("engine", index);
        return Endpoint.engine(new EndpointId(vm.id().value()))
                .vm(vm)
                .uri(URI.create("http://" + vm.host() + ":8000"))
                .build();
    }

    void post(final SimulatedMember from, final VmId to, final Envelope message) {
        final byte[] bytes = message.toBuilder().setSequence(++mMessages).build().toByteArray();
        mBytes += bytes.length;
        final SimulatedMember receiver = mById.get(to);
        mNetwork.delay(from.member().vm().domain(), receiver.member().vm().domain())
                .ifPresent(delay -> mInFlight.add(inFlight(from, receiver, delay, bytes)));
    }

    private InFlightMessage inFlight(
            final SimulatedMember from,
            final SimulatedMember to,
            final Duration delay,
            final byte[] bytes) {
        return new InFlightMessage(
                to.readsAt(mNow.plus(delay)), mMessages, from.member().id(), to, bytes);
    }

    void run(final Duration time) {
        final Instant end = mNow.plus(time);
        while (true) {
            final Instant tick = mTicks.peek().nextTick();
            final InFlightMessage message = mInFlight.peek();
            final boolean messageFirst = message != null && !message.arrives().isAfter(tick);
            final Instant next = messageFirst ? message.arrives() : tick;
            if (next.isAfter(end)) {
                mNow = end;
                return;
            }
            mNow = next;
            if (!mNow.isBefore(mNextList)) {
                deliverVmList();
            }
            if (messageFirst) {
                deliver(mInFlight.poll());
            } else {
                final SimulatedMember daemon = mTicks.poll();
                daemon.tick(mNow);
                mTicks.add(daemon);
            }
        }
    }

    /** Ends a daemon without notice; the VM list still contains it. */
    void kill(final SimulatedMember daemon) {
        mDaemons.remove(daemon);
        mTicks.remove(daemon);
        daemon.end();
    }

    private void deliverVmList() {
        mNextList = mNow.plus(LIST_INTERVAL);
        final VmListSnapshot list = new VmListSnapshot(mNow, mMembers, mEndpoints);
        mDaemons.forEach(daemon -> daemon.membership().listReceived(list, mNow));
    }

    private void deliver(final InFlightMessage inFlight) {
        if (inFlight.to().isEnded()) {
            return;
        }
        try {
            final Envelope envelope = Envelope.parseFrom(inFlight.bytes());
            MembershipCodec.decode(envelope)
                    .ifPresent(
                            message ->
                                    inFlight.to()
                                            .membership()
                                            .messageReceived(inFlight.from(), message, mNow));
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Instant now() {
        return mNow;
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    List<SimulatedMember> daemons() {
        return mDaemons;
    }

    List<Endpoint> endpoints() {
        return mEndpoints;
    }

    /** Returns the number of ordered daemon pairs in which the first suspects the second. */
    long suspicions() {
        long suspicions = 0;
        for (final SimulatedMember daemon : mDaemons) {
            for (final DaemonMember member : daemon.membership().view().daemons()) {
                suspicions += member.vm().state() == VmState.SUSPECT ? 1 : 0;
            }
        }
        return suspicions;
    }

    private record InFlightMessage(
            Instant arrives, long number, VmId from, SimulatedMember to, byte[] bytes) {}
}
