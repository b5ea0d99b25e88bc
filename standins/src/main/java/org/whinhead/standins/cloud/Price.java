package org.whinhead.standins.cloud;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

/**
 * What a VM costs.
 *
 * @param domain where
 * @param machineClass which size
 * @param billing how it is paid for
 * @param perHour the price of an hour
 */
public record Price(FailureDomain domain, String machineClass, Billing billing, double perHour) {

    /** Checks every part. */
    public Price {
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
    }
}
