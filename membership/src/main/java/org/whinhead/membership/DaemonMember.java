package org.whinhead.membership;

import java.net.URI;
import java.util.Objects;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/**
 * A daemon with its VM and addresses.
 *
 * @param vm the VM with its state
 * @param address the address for peers
 * @param callerAddress the address for callers
 */
public record DaemonMember(Vm vm, DaemonAddress address, URI callerAddress) {

    /** Validates all components. */
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
     * Returns this daemon with its VM in the given state.
     *
     * @param state the VM's new state
     * @return this member if the state is the same, else a copy
     */
    public DaemonMember withState(final VmState state) {
        return vm.state() == state
                ? this
                : new DaemonMember(vm.withState(state), address, callerAddress);
    }
}
