package org.whinhead.standins.cloud;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.vms.VmEntry;

/**
 * A request to start a VM.
 *
 * @param orderId the order's identity; a repeated order returns the same VM
 * @param domain the failure domain
 * @param machineClass the cloud's name of the VM size
 * @param billing the billing mode
 * @param role the kind of server that runs on the VM
 */
public record VmOrder(
        String orderId,
        FailureDomain domain,
        String machineClass,
        Billing billing,
        VmEntry.Role role) {

    /** Validates the components. */
    public VmOrder {
        Arguments.requireText(orderId, "orderId");
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        Objects.requireNonNull(role, "role");
    }
}
