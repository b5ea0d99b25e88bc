package org.whinhead.fleet;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.whinhead.api.model.FailureDomain;

/**
 * The number of VMs to run of each supply.
 *
 * @param counts the number of VMs by supply; supplies without VMs are omitted
 * @param needed the number of VMs that must remain after the largest domain is lost
 */
public record CapacityPlan(SortedMap<Supply, Integer> counts, int needed) {

    /** Copies the map. */
    public CapacityPlan {
        Objects.requireNonNull(counts, "counts");
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns the total number of VMs. */
    public int vmCount() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the price of all VMs per hour. */
    public double pricePerHour() {
        return counts.entrySet().stream()
                .mapToDouble(entry -> entry.getKey().pricePerHour() * entry.getValue())
                .sum();
    }

    /** Returns the number of VMs in the largest domain. */
    public int largestDomainVmCount() {
        final SortedMap<FailureDomain, Integer> byDomain = new TreeMap<>();
        counts.forEach((supply, count) -> byDomain.merge(supply.domain(), count, Integer::sum));
        return byDomain.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /**
     * Returns the number of VMs missing after the largest domain is lost; 0 if the plan suffices.
     */
    public int shortfall() {
        return Math.max(0, needed - (vmCount() - largestDomainVmCount()));
    }
}
