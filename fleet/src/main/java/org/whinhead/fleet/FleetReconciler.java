package org.whinhead.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/**
 * Computes, in rounds, the orders that bring the fleet from its observed to its desired state.
 *
 * <p>Single-threaded; runs at the holder of the fleet's lease. The orders of a round are appended
 * to the log before they are sent. The state kept between rounds (refused starts, the rate of model
 * loads) only avoids futile orders; the orders of a new holder without that state are correct too.
 */
public final class FleetReconciler {

    private final FleetSettings mSettings;
    private final StartBackoff mStartBackoff;
    private final ModelLoadRateLimiter mLoadRateLimiter;

    /**
     * Creates a reconciler.
     *
     * @param settings the settings of the reconciler
     */
    public FleetReconciler(final FleetSettings settings) {
        mSettings = settings;
        mStartBackoff = new StartBackoff(settings.firstRest());
        mLoadRateLimiter = new ModelLoadRateLimiter(settings.weightBytesPerSecond());
    }

    /**
     * Records that the cloud refused to start a VM.
     *
     * @param supply the supply of the VM
     * @param now the current time
     */
    public void recordRefusedStart(final Supply supply, final Instant now) {
        mStartBackoff.recordRefusal(supply, now);
    }

    /**
     * Records that the cloud started a VM.
     *
     * @param supply the supply of the VM
     */
    public void recordStartedVm(final Supply supply) {
        mStartBackoff.reset(supply);
    }

    /**
     * Computes the orders of one round.
     *
     * @param view the desired and the observed state
     * @param now the current time
     * @return the orders, to be appended to the log and then sent
     */
    public List<FleetOrder> reconcile(final FleetView view, final Instant now) {
        final List<FleetOrder> orders = new ArrayList<>();
        for (final Pool pool : view.pools()) {
            final CapacityPlan plan = planFor(pool, view, now);
            startMissing(pool, plan, view, orders);
            drainSurplus(pool, plan, view, orders);
            stopDrained(pool, view, orders);
            loadModels(pool, view, now, orders);
        }
        return orders;
    }

    private CapacityPlan planFor(final Pool pool, final FleetView view, final Instant now) {
        final Map<Supply, Integer> limits = new HashMap<>();
        final Map<Supply, Integer> present = countPresentBySupply(pool, view);
        for (final Supply supply : pool.supplies()) {
            if (mStartBackoff.isBackingOff(supply, now)) {
                limits.put(supply, present.getOrDefault(supply, 0));
            }
        }
        return VmPlanner.plan(pool.needed(), pool.supplies(), limits);
    }

    /** Counts members and open start orders, so that no VM is ordered twice. */
    private static Map<Supply, Integer> countPresentBySupply(
            final Pool pool, final FleetView view) {
        final Map<Supply, Integer> present = new TreeMap<>();
        for (final PoolMember member : view.membersOf(pool.name())) {
            if (member.countsTowardPlan()) {
                present.merge(member.supply(), 1, Integer::sum);
            }
        }
        for (final FleetOrder.StartVm start : view.startsOf(pool.name())) {
            present.merge(start.supply(), 1, Integer::sum);
        }
        return present;
    }

    private void startMissing(
            final Pool pool,
            final CapacityPlan plan,
            final FleetView view,
            final List<FleetOrder> orders) {
        final Map<Supply, Integer> present = countPresentBySupply(pool, view);
        int startsLeft = mSettings.mostStartsPerRound();
        for (final Map.Entry<Supply, Integer> wanted : plan.counts().entrySet()) {
            final Supply supply = wanted.getKey();
            int missing = wanted.getValue() - present.getOrDefault(supply, 0);
            while (missing > 0 && startsLeft > 0) {
                final OrderId id = orderId(view, pool, "start", orders.size());
                orders.add(new FleetOrder.StartVm(id, pool.name(), supply, reason(plan)));
                missing--;
                startsLeft--;
            }
        }
    }

    /**
     * Drains the VMs that the plan does not include, as long as enough serving VMs remain.
     *
     * <p>Guards against a cheaper plan that stops serving VMs before their replacements serve, so
     * that the latency target is missed meanwhile. A surplus VM is drained only if the other VMs
     * that have the model loaded still suffice after the largest domain is lost.
     */
    private void drainSurplus(
            final Pool pool,
            final CapacityPlan plan,
            final FleetView view,
            final List<FleetOrder> orders) {
        final Map<Supply, Integer> surplus = new HashMap<>(countPresentBySupply(pool, view));
        plan.counts().forEach((supply, count) -> surplus.merge(supply, -count, Integer::sum));
        final TreeMap<Supply, Integer> serving = countServingBySupply(pool, view);
        final List<PoolMember> leastLoadedFirst =
                view.membersOf(pool.name()).stream()
                        .filter(PoolMember::countsTowardPlan)
                        .sorted(
                                Comparator.comparingInt(PoolMember::inProgress)
                                        .thenComparing(member -> member.endpoint().id()))
                        .toList();
        for (final PoolMember member : leastLoadedFirst) {
            final boolean isSurplus = surplus.getOrDefault(member.supply(), 0) > 0;
            if (isSurplus && sufficesWithout(member, serving, pool)) {
                if (serves(member, pool)) {
                    serving.merge(member.supply(), -1, Integer::sum);
                }
                surplus.merge(member.supply(), -1, Integer::sum);
                final OrderId id = orderId(view, pool, "drain", orders.size());
                orders.add(
                        new FleetOrder.DrainVm(
                                id, member.endpoint().vm().id(), "not in the capacity plan"));
            }
        }
    }

    private static TreeMap<Supply, Integer> countServingBySupply(
            final Pool pool, final FleetView view) {
        final TreeMap<Supply, Integer> serving = new TreeMap<>();
        for (final PoolMember member : view.membersOf(pool.name())) {
            if (serves(member, pool)) {
                serving.merge(member.supply(), 1, Integer::sum);
            }
        }
        return serving;
    }

    private static boolean serves(final PoolMember member, final Pool pool) {
        return member.countsTowardPlan() && member.endpoint().models().contains(pool.model());
    }

    private static boolean sufficesWithout(
            final PoolMember leaving, final TreeMap<Supply, Integer> serving, final Pool pool) {
        final TreeMap<Supply, Integer> remaining = new TreeMap<>(serving);
        if (serves(leaving, pool)) {
            remaining.merge(leaving.supply(), -1, Integer::sum);
        }
        return new CapacityPlan(remaining, pool.needed()).shortfall() == 0;
    }

    /** Stops drained VMs once they have no requests in progress, so that the stop loses none. */
    private void stopDrained(final Pool pool, final FleetView view, final List<FleetOrder> orders) {
        final Set<VmId> stopOrdered = new HashSet<>();
        for (final FleetOrder order : view.open()) {
            if (order instanceof FleetOrder.StopVm stop) {
                stopOrdered.add(stop.vm());
            }
        }
        for (final PoolMember member : view.membersOf(pool.name())) {
            final VmId vm = member.endpoint().vm().id();
            final boolean isLeaving = member.endpoint().vm().state() == VmState.LEAVING;
            if (isLeaving && member.inProgress() == 0 && !stopOrdered.contains(vm)) {
                final OrderId id = orderId(view, pool, "stop", orders.size());
                orders.add(new FleetOrder.StopVm(id, vm, "drained"));
            }
        }
    }

    /**
     * Loads the pool's model on engines that lack it, a few engines at a time.
     *
     * <p>Guards against a new version that takes all engines out of service at once, so that no
     * request finds an endpoint. Engines without any model load first; engines that serve another
     * version follow only while few engines are in transition.
     */
    private void loadModels(
            final Pool pool,
            final FleetView view,
            final Instant now,
            final List<FleetOrder> orders) {
        final Set<EndpointId> loading = new HashSet<>();
        for (final FleetOrder order : view.open()) {
            if (order instanceof FleetOrder.LoadModel load) {
                loading.add(load.endpoint());
            }
        }
        final List<PoolMember> lackingModel =
                view.membersOf(pool.name()).stream()
                        .filter(PoolMember::countsTowardPlan)
                        .filter(member -> !member.endpoint().models().contains(pool.model()))
                        .filter(member -> !loading.contains(member.endpoint().id()))
                        .sorted(
                                Comparator.comparingInt(
                                                (PoolMember member) ->
                                                        member.endpoint().models().size())
                                        .thenComparing(member -> member.endpoint().id()))
                        .toList();
        int inTransition = loading.size();
        for (final PoolMember member : lackingModel) {
            final boolean isIdle = member.endpoint().models().isEmpty();
            final boolean canBegin = isIdle || inTransition < mSettings.mostInTransition();
            if (!canBegin || !mLoadRateLimiter.tryAcquire(pool.modelBytes(), now)) {
                return;
            }
            inTransition++;
            final OrderId id = orderId(view, pool, "load", orders.size());
            orders.add(
                    new FleetOrder.LoadModel(
                            id, member.endpoint().id(), pool.model(), "required by the pool"));
        }
    }

    private static OrderId orderId(
            final FleetView view, final Pool pool, final String kind, final int index) {
        return new OrderId(kind + "-" + pool.name() + "-" + view.round() + "-" + index);
    }

    private static String reason(final CapacityPlan plan) {
        return plan.needed() + " must remain after the largest domain is lost";
    }
}
