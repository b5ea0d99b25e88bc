package org.whinhead.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.VmId;

/** A message between daemons about membership. The sender's VM is passed along separately. */
public sealed interface MembershipMessage {

    /**
     * Shows that the sender is live.
     *
     * @param incarnation the sender's incarnation, raised to end a suspicion and at each restart
     * @param digest a hash of the leaving notices and suspicions that the sender knows
     * @param member the sender's description, in the first heartbeat to a peer and periodically
     *     after it
     */
    record Heartbeat(long incarnation, long digest, Optional<DaemonMember> member)
            implements MembershipMessage {
        /** Validates the member. */
        public Heartbeat {
            Objects.requireNonNull(member, "member");
        }
    }

    /**
     * Announces VMs that are leaving; each daemon for which this is new forwards it at its next
     * tick.
     *
     * @param notice the VMs and their end
     */
    record Leaving(LeavingNotice notice) implements MembershipMessage {
        /** Validates the notice. */
        public Leaving {
            Objects.requireNonNull(notice, "notice");
        }
    }

    /**
     * Forwards rumors.
     *
     * @param rumors the rumors
     * @param fullState whether these are all leaving notices and suspicions that the sender knows,
     *     so that the receiver replies with those that are missing
     */
    record Gossip(List<Rumor> rumors, boolean fullState) implements MembershipMessage {
        /** Copies the list. */
        public Gossip {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * Asks whether the target is live; sent to the target itself and to daemons that probe it for
     * the sender.
     *
     * @param target the silent VM
     * @param nonce a number that matches the reply to the probe
     */
    record Probe(VmId target, long nonce) implements MembershipMessage {
        /** Validates the target. */
        public Probe {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Confirms that the target is live.
     *
     * @param target the probed VM
     * @param nonce the probe's number
     * @param incarnation the newest known incarnation of the target, or 0 if unknown
     */
    record ProbeReply(VmId target, long nonce, long incarnation) implements MembershipMessage {
        /** Validates the target. */
        public ProbeReply {
            Objects.requireNonNull(target, "target");
        }
    }
}
