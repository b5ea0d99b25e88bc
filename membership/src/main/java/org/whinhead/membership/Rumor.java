package org.whinhead.membership;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.VmId;

/** A fact about a VM that daemons spread by gossip. */
public sealed interface Rumor {

    /** Returns the VM that the rumor is about. */
    VmId vm();

    /**
     * States that the VM is about to stop.
     *
     * @param vm the VM
     * @param goneBy the latest time at which the VM stops
     */
    record Leaving(VmId vm, Instant goneBy) implements Rumor {
        /** Validates all components. */
        public Leaving {
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(goneBy, "goneBy");
        }
    }

    /**
     * States that the daemon on the VM answered neither direct nor indirect probes.
     *
     * @param vm the VM
     * @param incarnation the newest incarnation that the observer knew
     */
    record Suspected(VmId vm, long incarnation) implements Rumor {
        /** Validates the VM. */
        public Suspected {
            Objects.requireNonNull(vm, "vm");
        }
    }

    /**
     * States that the daemon on the VM is live, which ends every suspicion of an older incarnation.
     *
     * @param vm the VM
     * @param incarnation the daemon's incarnation, which only the daemon itself raises
     */
    record Alive(VmId vm, long incarnation) implements Rumor {
        /** Validates the VM. */
        public Alive {
            Objects.requireNonNull(vm, "vm");
        }
    }

    /**
     * States that a daemon started, which the VM list may not contain yet.
     *
     * @param member the daemon
     * @param incarnation the daemon's incarnation
     */
    record Joined(DaemonMember member, long incarnation) implements Rumor {
        /** Validates the member. */
        public Joined {
            Objects.requireNonNull(member, "member");
        }

        @Override
        public VmId vm() {
            return member.id();
        }
    }
}
