package org.whinhead.api.model;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One virtual machine of the deployment.
 *
 * @param id the VM's identity
 * @param host the IP address that its processes listen on
 * @param domain the failure domain that it stands in
 * @param machineClass the cloud's name for its size, for example {@code entry-small}
 * @param billing how it is paid for
 * @param state its last known state
 */
public record Vm(
        VmId id,
        String host,
        FailureDomain domain,
        String machineClass,
        Billing billing,
        VmState state) {

    /** Checks every part. */
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
