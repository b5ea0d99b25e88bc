package org.whinhead.standins.cloud;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

/**
 * The hourly price of a VM.
 *
 * @param domain the failure domain
 * @param machineClass the cloud's name of the VM size
 * @param billing the billing mode
 * @param perHour the price of an hour
 */
public record Price(FailureDomain domain, String machineClass, Billing billing, double perHour) {

    /** Validates the components. */
    public Price {
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
    }
}
