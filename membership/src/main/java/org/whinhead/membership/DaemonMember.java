package org.whinhead.membership;

import java.net.URI;
import java.util.Objects;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/**
 * A VM that runs a daemon.
 *
 * @param vm the VM with its state
 * @param address where its peers reach it
 * @param callerAddress where callers reach it
 */
public record DaemonMember(Vm vm, DaemonAddress address, URI callerAddress) {

    /** Checks every part. */
    public DaemonMember {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(callerAddress, "callerAddress");
    }

    /** Returns the VM's identity. */
    public VmId id() {
        return vm.id();
    }

    /**
     * Returns the same daemon with its VM in another state.
     *
     * @param state the VM's new state
     * @return a copy of this member
     */
    public DaemonMember withState(final VmState state) {
        return vm.state() == state
                ? this
                : new DaemonMember(vm.withState(state), address, callerAddress);
    }
}
