package org.whinhead.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

class VmPlannerTest {

    // Guards against a plan with all VMs in the cheapest domain: if that domain is reclaimed, the
    // remaining capacity does not suffice, and requests wait for an hour.
    @Test
    void planDoesNotRelyOnCheapestDomainAlone() {
        final Supply cheap = supply("kg-gasabo", 1.0);
        final Supply expensive = supply("kg-kicukiro", 3.0);

        final CapacityPlan plan = VmPlanner.plan(4, List.of(cheap, expensive), Map.of());

        assertThat(plan.counts()).isEqualTo(Map.of(cheap, 4, expensive, 4));
        assertThat(plan.shortfall()).isZero();
    }

    @Test
    void similarPricesSpreadVmsOverMoreDomains() {
        final List<Supply> supplies = List.of(supply("a", 1.0), supply("b", 1.1), supply("c", 1.2));

        final CapacityPlan plan = VmPlanner.plan(4, supplies, Map.of());

        assertThat(plan.vmCount()).isEqualTo(6);
        assertThat(plan.largestDomainVmCount()).isEqualTo(2);
    }

    @Test
    void limitedSupplyIsReportedAsShortfall() {
        final Supply only = supply("a", 1.0);
        final Supply refused = supply("b", 1.0);

        final CapacityPlan plan = VmPlanner.plan(3, List.of(only, refused), Map.of(refused, 1));

        assertThat(plan.shortfall()).isEqualTo(2);
    }

    @Property(seed = "20261203", tries = 150)
    void planIsAsCheapAsTheBestOfAllPlans(
            @ForAll @IntRange(min = 1, max = 4) final int needed,
            @ForAll @Size(min = 2, max = 3) final List<@IntRange(min = 1, max = 9) Integer> prices,
            @ForAll @IntRange(min = 0, max = 5) final int firstLimit) {
        final List<Supply> supplies = new ArrayList<>();
        for (int index = 0; index < prices.size(); index++) {
            supplies.add(supply("domain-" + index, prices.get(index)));
        }
        final Map<Supply, Integer> limits = Map.of(supplies.get(0), firstLimit);

        final CapacityPlan found = VmPlanner.plan(needed, supplies, limits);
        final CapacityPlan expected =
                planExhaustively(needed, supplies, limits, 0, new TreeMap<>());

        assertThat(found.shortfall()).isEqualTo(expected.shortfall());
        assertThat(found.pricePerHour()).isLessThanOrEqualTo(expected.pricePerHour());
    }

    private static CapacityPlan planExhaustively(
            final int needed,
            final List<Supply> supplies,
            final Map<Supply, Integer> limits,
            final int index,
            final SortedMap<Supply, Integer> counts) {
        if (index == supplies.size()) {
            return new CapacityPlan(counts, needed);
        }
        CapacityPlan best = null;
        final Supply supply = supplies.get(index);
        final int maxCount = Math.min(2 * needed, limits.getOrDefault(supply, Integer.MAX_VALUE));
        for (int count = 0; count <= maxCount; count++) {
            counts.put(supply, count);
            final CapacityPlan plan = planExhaustively(needed, supplies, limits, index + 1, counts);
            if (best == null
                    || plan.shortfall() < best.shortfall()
                    || (plan.shortfall() == best.shortfall()
                            && plan.pricePerHour() < best.pricePerHour())) {
                best = plan;
            }
        }
        counts.remove(supply);
        return best;
    }

    private static Supply supply(final String domain, final double price) {
        return new Supply(
                new FailureDomain("kigali", domain), "engine-small", Billing.RECLAIMABLE, price);
    }
}
