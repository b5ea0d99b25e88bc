package org.whinhead.membership;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.VmId;

/** One fact about a VM that daemons pass on to each other. */
public sealed interface Rumor {

    /** Returns the VM that the fact is about. */
    VmId vm();

    /**
     * The VM is about to stop.
     *
     * @param vm the VM
     * @param goneBy when it is stopped at the latest
     */
    record Leaving(VmId vm, Instant goneBy) implements Rumor {
        /** Checks every part. */
        public Leaving {
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(goneBy, "goneBy");
        }
    }

    /**
     * The daemon on the VM was silent to its observers, directly and through others.
     *
     * @param vm the VM
     * @param incarnation the newest incarnation that the observer had heard of
     */
    record Suspected(VmId vm, long incarnation) implements Rumor {
        /** Checks the VM. */
        public Suspected {
            Objects.requireNonNull(vm, "vm");
        }
    }

    /**
     * The daemon on the VM said that it is live, which ends every suspicion of an older
     * incarnation.
     *
     * @param vm the VM
     * @param incarnation the daemon's number, which only the daemon itself raises
     */
    record Alive(VmId vm, long incarnation) implements Rumor {
        /** Checks the VM. */
        public Alive {
            Objects.requireNonNull(vm, "vm");
        }
    }

    /**
     * A daemon started that the VM list may not show yet.
     *
     * @param member the daemon
     * @param incarnation the daemon's number
     */
    record Joined(DaemonMember member, long incarnation) implements Rumor {
        /** Checks the member. */
        public Joined {
            Objects.requireNonNull(member, "member");
        }

        @Override
        public VmId vm() {
            return member.id();
        }
    }
}
