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
 * Turns what the settings want and what is there into orders, round by round.
 *
 * <p>Single-threaded. Whoever holds the fleet's lease runs it; the orders of a round go to the log
 * before they are sent. What it remembers between rounds (refused starts, the pace of loads) only
 * saves futile orders; a new holder that starts without it gives right orders too.
 */
public final class FleetReconciler {

    private final FleetSettings mSettings;
    private final StartBackoff mRefusedStarts;
    private final ModelLoadRateLimiter mLoadPacer;

    /**
     * Makes a reconciler.
     *
     * @param settings its tunables
     */
    public FleetReconciler(final FleetSettings settings) {
        mSettings = settings;
        mRefusedStarts = new StartBackoff(settings.firstRest());
        mLoadPacer = new ModelLoadRateLimiter(settings.weightBytesPerSecond());
    }

    /**
     * The cloud refused a start.
     *
     * @param supply what was asked for
     * @param now the time
     */
    public void recordRefusedStart(final Supply supply, final Instant now) {
        mRefusedStarts.recordRefusal(supply, now);
    }

    /**
     * The cloud started a VM.
     *
     * @param supply what was asked for
     */
    public void recordStartedVm(final Supply supply) {
        mRefusedStarts.reset(supply);
    }

    /**
     * Gives the orders of one round.
     *
     * @param view what is wanted and what is there
     * @param now the time
     * @return the orders, to be put on the log and then sent
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
            if (mRefusedStarts.isBackingOff(supply, now)) {
                limits.put(supply, present.getOrDefault(supply, 0));
            }
        }
        return CapacityPlanner.plan(pool.needed(), pool.supplies(), limits);
    }

    /** Counts members and open starts, so that an order on its way is not given twice. */
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
        int left = mSettings.mostStartsPerRound();
        for (final Map.Entry<Supply, Integer> wanted : plan.counts().entrySet()) {
            final Supply supply = wanted.getKey();
            int missing = wanted.getValue() - present.getOrDefault(supply, 0);
            while (missing > 0 && left > 0) {
                final OrderId id = orderId(view, pool, "start", orders.size());
                orders.add(new FleetOrder.StartVm(id, pool.name(), supply, reason(plan)));
                missing--;
                left--;
            }
        }
    }

    /**
     * Drains what the plan does not hold, but only while enough remains.
     *
     * <p>Guards against a cheaper plan that stops serving VMs before their successors serve: the
     * latency target is missed during the change. A surplus VM goes only if the VMs that have the
     * model loaded, less this one, still suffice after the largest domain is lost.
     */
    private void drainSurplus(
            final Pool pool,
            final CapacityPlan plan,
            final FleetView view,
            final List<FleetOrder> orders) {
        final Map<Supply, Integer> surplus = new HashMap<>(countPresentBySupply(pool, view));
        plan.counts().forEach((supply, count) -> surplus.merge(supply, -count, Integer::sum));
        final TreeMap<Supply, Integer> serving = countServingBySupply(pool, view);
        final List<PoolMember> emptiestFirst =
                view.membersOf(pool.name()).stream()
                        .filter(PoolMember::countsTowardPlan)
                        .sorted(
                                Comparator.comparingInt(PoolMember::inProgress)
                                        .thenComparing(member -> member.endpoint().id()))
                        .toList();
        for (final PoolMember member : emptiestFirst) {
            final boolean isSurplus = surplus.getOrDefault(member.supply(), 0) > 0;
            if (isSurplus && sufficesWithout(member, serving, pool)) {
                if (serves(member, pool)) {
                    serving.merge(member.supply(), -1, Integer::sum);
                }
                surplus.merge(member.supply(), -1, Integer::sum);
                final OrderId id = orderId(view, pool, "drain", orders.size());
                orders.add(
                        new FleetOrder.DrainVm(id, member.endpoint().vm().id(), "not in the plan"));
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
        final TreeMap<Supply, Integer> left = new TreeMap<>(serving);
        if (serves(leaving, pool)) {
            left.merge(leaving.supply(), -1, Integer::sum);
        }
        return new CapacityPlan(left, pool.needed()).shortfall() == 0;
    }

    /** Stops drained VMs once no request is in progress on them, so that the stop cuts none. */
    private void stopDrained(final Pool pool, final FleetView view, final List<FleetOrder> orders) {
        final Set<VmId> ordered = new HashSet<>();
        for (final FleetOrder order : view.open()) {
            if (order instanceof FleetOrder.StopVm stop) {
                ordered.add(stop.vm());
            }
        }
        for (final PoolMember member : view.membersOf(pool.name())) {
            final VmId vm = member.endpoint().vm().id();
            final boolean isLeaving = member.endpoint().vm().state() == VmState.LEAVING;
            if (isLeaving && member.inProgress() == 0 && !ordered.contains(vm)) {
                final OrderId id = orderId(view, pool, "stop", orders.size());
                orders.add(new FleetOrder.StopVm(id, vm, "drained"));
            }
        }
    }

    /**
     * Loads the pool's model where it is missing, a few engines at a time.
     *
     * <p>Guards against a new version that takes every engine out of service at once: no request
     * finds an endpoint. Engines without any model go first; those that serve another version
     * follow only while few are in transition.
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
        final List<PoolMember> lacking =
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
        for (final PoolMember member : lacking) {
            final boolean isIdle = member.endpoint().models().isEmpty();
            final boolean mayBegin = isIdle || inTransition < mSettings.mostInTransition();
            if (!mayBegin || !mLoadPacer.tryAcquire(pool.modelBytes(), now)) {
                return;
            }
            inTransition++;
            final OrderId id = orderId(view, pool, "load", orders.size());
            orders.add(
                    new FleetOrder.LoadModel(
                            id, member.endpoint().id(), pool.model(), "wanted by the pool"));
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
