package org.whinhead.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.FailureDomain;

/**
 * Computes the cheapest set of VMs that still suffices after the loss of its largest failure
 * domain.
 *
 * <p>If no domain may hold more than {@code m} VMs, {@code needed + m} in all suffice, and for a
 * given {@code m} the cheapest choice takes supplies in order of price, up to {@code m} per domain.
 * Trying every {@code m} from 1 to {@code needed} finds the optimum: its largest domain has some
 * size {@code m}, and for that {@code m} no choice is cheaper than the one in order of price.
 */
public final class VmPlanner {

    private VmPlanner() {}

    /**
     * Plans one pool of equivalent VMs.
     *
     * @param needed the number of VMs that must remain after the largest domain is lost, at least 0
     * @param supplies the supplies to choose from
     * @param limits the maximum number of VMs per supply; a supply without an entry has no limit
     * @return the cheapest sufficient plan or, if none suffices, the cheapest with the smallest
     *     shortfall
     */
    public static CapacityPlan plan(
            final int needed, final List<Supply> supplies, final Map<Supply, Integer> limits) {
        Arguments.requireAtLeast(needed, 0, "needed");
        final List<Supply> byPrice = supplies.stream().sorted().toList();
        CapacityPlan best = new CapacityPlan(new TreeMap<>(), needed);
        for (int largest = 1; largest <= needed; largest++) {
            final CapacityPlan candidate = fillByPrice(needed, largest, byPrice, limits);
            if (isBetter(candidate, best)) {
                best = candidate;
            }
        }
        return best;
    }

    private static CapacityPlan fillByPrice(
            final int needed,
            final int largest,
            final List<Supply> byPrice,
            final Map<Supply, Integer> limits) {
        final SortedMap<Supply, Integer> counts = new TreeMap<>();
        final Map<FailureDomain, Integer> countByDomain = new HashMap<>();
        int remaining = needed + largest;
        for (final Supply supply : byPrice) {
            final int domainRoom = largest - countByDomain.getOrDefault(supply.domain(), 0);
            final int limit = limits.getOrDefault(supply, Integer.MAX_VALUE);
            final int added = Math.min(remaining, Math.min(domainRoom, limit));
            if (added > 0) {
                counts.put(supply, added);
                countByDomain.merge(supply.domain(), added, Integer::sum);
                remaining -= added;
            }
        }
        return new CapacityPlan(counts, needed);
    }

    private static boolean isBetter(final CapacityPlan candidate, final CapacityPlan best) {
        if (candidate.shortfall() != best.shortfall()) {
            return candidate.shortfall() < best.shortfall();
        }
        return candidate.pricePerHour() < best.pricePerHour();
    }
}
