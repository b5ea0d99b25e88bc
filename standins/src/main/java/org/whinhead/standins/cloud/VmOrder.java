package org.whinhead.standins.cloud;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.vms.VmEntry;

/**
 * An order for a VM.
 *
 * @param orderId its identity; the same one gives the same VM
 * @param domain where
 * @param machineClass which size
 * @param billing how it is paid for
 * @param role what runs on it
 */
public record VmOrder(
        String orderId,
        FailureDomain domain,
        String machineClass,
        Billing billing,
        VmEntry.Role role) {

    /** Checks every part. */
    public VmOrder {
        Arguments.requireText(orderId, "orderId");
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        Objects.requireNonNull(role, "role");
    }
}
