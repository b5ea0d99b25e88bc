package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

/**
 * One way to buy capacity: a machine class in a failure domain, billed one way.
 *
 * @param domain the failure domain
 * @param machineClass the cloud's name for the machine's size
 * @param billing how it is paid for
 * @param pricePerHour what one VM costs an hour
 */
public record Supply(
        FailureDomain domain, String machineClass, Billing billing, double pricePerHour)
        implements Comparable<Supply> {

    /** Checks every part. */
    public Supply {
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        if (!(pricePerHour >= 0)) {
            throw new IllegalArgumentException("pricePerHour is " + pricePerHour);
        }
    }

    /** Orders by price, then by names, so that every planner fills in the same order. */
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
