package org.whinhead.api.model;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One virtual machine of the deployment.
 *
 * @param id the VM's identifier
 * @param host the IP address that its processes listen on
 * @param domain the failure domain that it belongs to
 * @param machineClass the name of its machine class in the cloud, for example {@code entry-small}
 * @param billing its billing mode
 * @param state its last known state
 */
public record Vm(
        VmId id,
        String host,
        FailureDomain domain,
        String machineClass,
        Billing billing,
        VmState state) {

    /** Validates the components. */
    public Vm {
        Objects.requireNonNull(id, "id");
        Arguments.requireText(host, "host");
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns the same VM in another state.
     *
     * @param next the new state
     * @return a copy of this VM
     */
    public Vm withState(final VmState next) {
        return new Vm(id, host, domain, machineClass, billing, next);
    }
}
