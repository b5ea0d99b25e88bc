package org.whinhead.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
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
import org.whinhead.peer.generated.PeerProto.Envelope;

class MembershipCodecTest {

    private static final VmId VM = new VmId("vm-1");
    private static final Instant GONE_BY = Instant.parse("2030-01-01T00:00:30Z");

    @Test
    void everyMessageRoundTrips() {
        final FailureDomain domain = new FailureDomain("kigali", "kg-gasabo");
        final Vm vm = new Vm(VM, "10.0.0.1", domain, "s", Billing.ON_DEMAND, VmState.LIVE);
        final DaemonMember member =
                new DaemonMember(
                        vm, new DaemonAddress(VM, "10.0.0.1", 9), URI.create("http://10.0.0.1:8"));
        final List<Rumor> rumors =
                List.of(
                        new Rumor.Leaving(VM, GONE_BY),
                        new Rumor.Suspected(VM, 3),
                        new Rumor.Alive(VM, 4),
                        new Rumor.Joined(member, 5));
        final List<MembershipMessage> messages =
                List.of(
                        new MembershipMessage.Heartbeat(1, -2, Optional.of(member)),
                        new MembershipMessage.Heartbeat(1, 2, Optional.empty()),
                        new MembershipMessage.Leaving(
                                new LeavingNotice(Set.of(VM, new VmId("vm-2")), GONE_BY)),
                        new MembershipMessage.Gossip(rumors, true),
                        new MembershipMessage.Probe(VM, 6),
                        new MembershipMessage.ProbeReply(VM, 7, 8));
        for (final MembershipMessage message : messages) {
            assertThat(MembershipCodec.decode(MembershipCodec.encode(message))).contains(message);
        }
        assertThat(MembershipCodec.decode(Envelope.getDefaultInstance())).isEmpty();
    }
}
