package org.whinhead.peer;

import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.LeavingNotice;
import org.whinhead.membership.MembershipMessage;
import org.whinhead.membership.Rumor;
import org.whinhead.peer.generated.PeerProto;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** Converts membership messages to envelopes and back. */
public final class MembershipCodec {

    private MembershipCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return an envelope without sender, sequence and correlation
     */
    public static Envelope encode(final MembershipMessage message) {
        final Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            final PeerProto.Heartbeat.Builder body =
                    PeerProto.Heartbeat.newBuilder()
                            .setIncarnation(heartbeat.incarnation())
                            .setDigest(heartbeat.digest());
            heartbeat.member().ifPresent(member -> body.setMember(encode(member)));
            envelope.setHeartbeat(body);
        } else if (message instanceof MembershipMessage.Leaving leaving) {
            final PeerProto.LeavingNotice.Builder body =
                    PeerProto.LeavingNotice.newBuilder()
                            .setGoneByMillis(leaving.notice().goneBy().toEpochMilli());
            leaving.notice().vms().forEach(vm -> body.addVms(vm.value()));
            envelope.setLeavingNotice(body);
        } else if (message instanceof MembershipMessage.Gossip gossip) {
            final PeerProto.Gossip.Builder body =
                    PeerProto.Gossip.newBuilder().setWhole(gossip.fullState());
            gossip.rumors().forEach(rumor -> body.addRumors(encode(rumor)));
            envelope.setGossip(body);
        } else if (message instanceof MembershipMessage.Probe probe) {
            envelope.setProbe(
                    PeerProto.Probe.newBuilder()
                            .setTarget(probe.target().value())
                            .setNonce(probe.nonce()));
        } else if (message instanceof MembershipMessage.ProbeReply reply) {
            envelope.setProbeReply(
                    PeerProto.ProbeReply.newBuilder()
                            .setTarget(reply.target().value())
                            .setNonce(reply.nonce())
                            .setIncarnation(reply.incarnation()));
        }
        return envelope.build();
    }

    /**
     * Decodes an envelope.
     *
     * @param envelope the envelope
     * @return the message, or empty if the envelope has no membership message
     * @throws IllegalArgumentException if a part of the message is missing or invalid
     */
    public static Optional<MembershipMessage> decode(final Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case HEARTBEAT -> Optional.of(decode(envelope.getHeartbeat()));
            case LEAVING_NOTICE -> Optional.of(decode(envelope.getLeavingNotice()));
            case GOSSIP -> Optional.of(decode(envelope.getGossip()));
            case PROBE ->
                    Optional.of(
                            new MembershipMessage.Probe(
                                    new VmId(envelope.getProbe().getTarget()),
                                    envelope.getProbe().getNonce()));
            case PROBE_REPLY -> Optional.of(decode(envelope.getProbeReply()));
            default -> Optional.empty();
        };
    }

    private static MembershipMessage decode(final PeerProto.Heartbeat heartbeat) {
        final Optional<DaemonMember> member =
                heartbeat.hasMember()
                        ? Optional.of(decode(heartbeat.getMember()))
                        : Optional.empty();
        return new MembershipMessage.Heartbeat(
                heartbeat.getIncarnation(), heartbeat.getDigest(), member);
    }

    private static MembershipMessage decode(final PeerProto.LeavingNotice notice) {
        final Set<VmId> vms = new HashSet<>();
        notice.getVmsList().forEach(vm -> vms.add(new VmId(vm)));
        final Instant goneBy = Instant.ofEpochMilli(notice.getGoneByMillis());
        return new MembershipMessage.Leaving(new LeavingNotice(vms, goneBy));
    }

    private static MembershipMessage decode(final PeerProto.Gossip gossip) {
        final List<Rumor> rumors = new ArrayList<>(gossip.getRumorsCount());
        for (final PeerProto.Rumor rumor : gossip.getRumorsList()) {
            // Skips kinds of rumors that only newer daemons know.
            decode(rumor).ifPresent(rumors::add);
        }
        return new MembershipMessage.Gossip(rumors, gossip.getWhole());
    }

    private static MembershipMessage decode(final PeerProto.ProbeReply reply) {
        return new MembershipMessage.ProbeReply(
                new VmId(reply.getTarget()), reply.getNonce(), reply.getIncarnation());
    }

    private static PeerProto.Rumor encode(final Rumor rumor) {
        final PeerProto.Rumor.Builder builder = PeerProto.Rumor.newBuilder();
        if (rumor instanceof Rumor.Leaving leaving) {
            builder.getLeavingBuilder()
                    .setVm(leaving.vm().value())
                    .setGoneByMillis(leaving.goneBy().toEpochMilli());
        } else if (rumor instanceof Rumor.Suspected suspected) {
            builder.getSuspectedBuilder()
                    .setVm(suspected.vm().value())
                    .setIncarnation(suspected.incarnation());
        } else if (rumor instanceof Rumor.Alive alive) {
            builder.getAliveBuilder().setVm(alive.vm().value()).setIncarnation(alive.incarnation());
        } else if (rumor instanceof Rumor.Joined joined) {
            builder.getJoinedBuilder()
                    .setMember(encode(joined.member()))
                    .setIncarnation(joined.incarnation());
        }
        return builder.build();
    }

    private static Optional<Rumor> decode(final PeerProto.Rumor rumor) {
        return switch (rumor.getFactCase()) {
            case LEAVING ->
                    Optional.of(
                            new Rumor.Leaving(
                                    new VmId(rumor.getLeaving().getVm()),
                                    Instant.ofEpochMilli(rumor.getLeaving().getGoneByMillis())));
            case SUSPECTED ->
                    Optional.of(
                            new Rumor.Suspected(
                                    new VmId(rumor.getSuspected().getVm()),
                                    rumor.getSuspected().getIncarnation()));
            case ALIVE ->
                    Optional.of(
                            new Rumor.Alive(
                                    new VmId(rumor.getAlive().getVm()),
                                    rumor.getAlive().getIncarnation()));
            case JOINED ->
                    Optional.of(
                            new Rumor.Joined(
                                    decode(rumor.getJoined().getMember()),
                                    rumor.getJoined().getIncarnation()));
            default -> Optional.empty();
        };
    }

    private static PeerProto.Member encode(final DaemonMember member) {
        final Vm vm = member.vm();
        return PeerProto.Member.newBuilder()
                .setVm(vm.id().value())
                .setHost(member.address().host())
                .setPeerPort(member.address().port())
                .setCallerAddress(member.callerAddress().toString())
                .setRegion(vm.domain().region())
                .setDomain(vm.domain().name())
                .setMachineClass(vm.machineClass())
                .setMayBeReclaimed(vm.billing().isReclaimable())
                .build();
    }

    private static DaemonMember decode(final PeerProto.Member member) {
        final VmId id = new VmId(member.getVm());
        final Vm vm =
                new Vm(
                        id,
                        member.getHost(),
                        new FailureDomain(member.getRegion(), member.getDomain()),
                        member.getMachineClass(),
                        member.getMayBeReclaimed() ? Billing.RECLAIMABLE : Billing.ON_DEMAND,
                        VmState.LIVE);
        final DaemonAddress address = new DaemonAddress(id, member.getHost(), member.getPeerPort());
        return new DaemonMember(vm, address, URI.create(member.getCallerAddress()));
    }
}
