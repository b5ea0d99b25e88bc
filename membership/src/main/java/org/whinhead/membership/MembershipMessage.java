package org.whinhead.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.VmId;

/** What daemons say to each other about membership; the sender's VM travels beside it. */
public sealed interface MembershipMessage {

    /**
     * The sender is live.
     *
     * @param incarnation the sender's number, raised to end a suspicion and by each restart
     * @param digest a hash over the leavings and suspicions that the sender knows
     * @param member the sender itself, in the first heartbeats to a peer and now and then
     */
    record Heartbeat(long incarnation, long digest, Optional<DaemonMember> member)
            implements MembershipMessage {
        /** Checks the member. */
        public Heartbeat {
            Objects.requireNonNull(member, "member");
        }
    }

    /**
     * VMs are leaving; passed on at the next tick by each daemon that hears it first.
     *
     * @param notice the VMs
     */
    record Leaving(LeavingNotice notice) implements MembershipMessage {
        /** Checks the notice. */
        public Leaving {
            Objects.requireNonNull(notice, "notice");
        }
    }

    /**
     * Facts passed on.
     *
     * @param rumors the facts
     * @param whole whether these are all leavings and suspicions that the sender knows, so that the
     *     receiver answers with those that are missing
     */
    record Gossip(List<Rumor> rumors, boolean fullState) implements MembershipMessage {
        /** Copies the list. */
        public Gossip {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * Asks whether the target is live; sent to the target itself and to daemons that may reach it.
     *
     * @param target the silent VM
     * @param nonce matches the reply to the question
     */
    record Probe(VmId target, long nonce) implements MembershipMessage {
        /** Checks the target. */
        public Probe {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * The target is live.
     *
     * @param target the VM that was asked about
     * @param nonce the question's number
     * @param incarnation the newest incarnation that is known of it
     */
    record ProbeReply(VmId target, long nonce, long incarnation) implements MembershipMessage {
        /** Checks the target. */
        public ProbeReply {
            Objects.requireNonNull(target, "target");
        }
    }
}
