package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

/**
 * An offer of VMs: a machine class in a failure domain with a billing model.
 *
 * @param domain the failure domain
 * @param machineClass the cloud provider's name for the VM size
 * @param billing the billing model
 * @param pricePerHour the price of one VM per hour, at least 0
 */
public record Supply(
        FailureDomain domain, String machineClass, Billing billing, double pricePerHour)
        implements Comparable<Supply> {

    /** Validates the components. */
    public Supply {
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        if (!(pricePerHour >= 0)) {
            throw new IllegalArgumentException("pricePerHour must be at least 0: " + pricePerHour);
        }
    }

    /**
     * Orders by price, then by domain, machine class and billing, so that all planners use one
     * order.
     */
    @Override
    public int compareTo(final Supply other) {
        int order = Double.compare(pricePerHour, other.pricePerHour);
        if (order == 0) {
            order = domain.compareTo(other.domain);
        }
        if (order == 0) {
            order = machineClass.compareTo(other.machineClass);
        }
        return order != 0 ? order : billing.compareTo(other.billing);
    }
}
