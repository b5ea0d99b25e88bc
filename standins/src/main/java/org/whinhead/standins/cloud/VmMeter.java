package org.whinhead.standins.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinhead.standins.vms.VmEntry;

/** Sums the cost of VMs by role; callers pass the current time. */
final class VmMeter {

    private static final double MILLIS_PER_HOUR = Duration.ofHours(1).toMillis();

    private final List<Price> mPrices;
    private final Map<String, Running> mRunning = new HashMap<>();
    private final Map<VmEntry.Role, Double> mEndedCost = new TreeMap<>();

    VmMeter(final List<Price> prices) {
        mPrices = List.copyOf(prices);
    }

    synchronized void started(final String vm, final VmOrder order, final Instant now) {
        mRunning.put(vm, new Running(order, now));
    }

    synchronized void stopped(final String vm, final Instant now) {
        final Running running = mRunning.remove(vm);
        if (running != null) {
            mEndedCost.merge(running.order().role(), cost(running, now), Double::sum);
        }
    }

    /** Returns the cost of the VMs of each role until now. */
    synchronized Map<VmEntry.Role, Double> cost(final Instant now) {
        final Map<VmEntry.Role, Double> cost = new TreeMap<>(mEndedCost);
        for (final Running running : mRunning.values()) {
            cost.merge(running.order().role(), cost(running, now), Double::sum);
        }
        return cost;
    }

    private double cost(final Running running, final Instant now) {
        final double hours = Duration.between(running.since(), now).toMillis() / MILLIS_PER_HOUR;
        return hours * perHour(running.order());
    }

    private double perHour(final VmOrder order) {
        return mPrices.stream()
                .filter(price -> price.domain().equals(order.domain()))
                .filter(price -> price.machineClass().equals(order.machineClass()))
                .filter(price -> price.billing() == order.billing())
                .mapToDouble(Price::perHour)
                .findFirst()
                .orElse(0);
    }

    private record Running(VmOrder order, Instant since) {}
}
