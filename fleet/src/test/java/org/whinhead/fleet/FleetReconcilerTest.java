package org.whinhead.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

class FleetReconcilerTest {

    private static final Instant START = Instant.parse("2026-12-02T08:00:00Z");
    private static final ModelRef OLD = ModelRef.of("summary", "1");
    private static final ModelRef NEW = ModelRef.of("summary", "2");
    private static final Supply GASABO = supply("kg-gasabo", 1.0);
    private static final Supply KICUKIRO = supply("kg-kicukiro", 1.0);
    private static final Supply NYARUGENGE = supply("kg-nyarugenge", 1.0);
    private static final List<Supply> SUPPLIES = List.of(GASABO, KICUKIRO, NYARUGENGE);

    private final FleetReconciler mReconciler =
            new FleetReconciler(new FleetSettings(Duration.ofSeconds(30), 100, 1, 10));

    @Test
    void missingVmsAreStartedOnlyOnce() {
        final List<FleetOrder> first = reconcile(pool(OLD, 4), List.of(), List.of());

        assertThat(first).hasSize(6).allMatch(FleetOrder.StartVm.class::isInstance);
        // The VM list lags: the VMs are not in it yet, but their orders are on the log.
        assertThat(reconcile(pool(OLD, 4), List.of(), first)).isEmpty();
    }

    // Guards against a fleet that lacks VMs for an hour after a reclaim although two domains have
    // capacity: the cloud refuses each start in the reclaimed domain, and it is ordered again.
    @Test
    void refusedStartsAreReplacedInOtherDomains() {
        mReconciler.recordRefusedStart(GASABO, START);

        final List<FleetOrder> orders = reconcile(pool(OLD, 2), List.of(), List.of());

        assertThat(orders)
                .extracting(order -> ((FleetOrder.StartVm) order).supply())
                .containsExactlyInAnyOrder(KICUKIRO, KICUKIRO, NYARUGENGE, NYARUGENGE);
    }

    @Test
    void leavingVmIsReplacedBeforeItStops() {
        final List<PoolMember> members = servingMembers(OLD);
        final PoolMember leaving = members.remove(0);
        members.add(withState(leaving, VmState.LEAVING));

        final List<FleetOrder> orders = reconcile(pool(OLD, 2), members, List.of());

        assertThat(orders)
                .hasExactlyElementsOfTypes(FleetOrder.StartVm.class, FleetOrder.StopVm.class);
        assertThat(((FleetOrder.StartVm) orders.get(0)).supply()).isEqualTo(leaving.supply());
        assertThat(((FleetOrder.StopVm) orders.get(1)).vm())
                .isEqualTo(leaving.endpoint().vm().id());
    }

    // Guards against an answer cut off during a scale-in: the pool shrinks, a VM is drained, and it
    // is stopped while a long answer is still in progress on it.
    @Test
    void drainedVmIsStoppedOnlyWithoutRequestsInProgress() {
        final List<PoolMember> members = servingMembers(OLD);
        final PoolMember busy = withState(members.remove(0), VmState.LEAVING);
        members.add(new PoolMember(busy.pool(), busy.endpoint(), busy.supply(), 1));

        assertThat(reconcile(pool(OLD, 1), members, List.of()))
                .noneMatch(FleetOrder.StopVm.class::isInstance);
        members.remove(members.size() - 1);
        members.add(busy);
        assertThat(reconcile(pool(OLD, 1), members, List.of()))
                .filteredOn(FleetOrder.StopVm.class::isInstance)
                .singleElement()
                .extracting(order -> ((FleetOrder.StopVm) order).vm())
                .isEqualTo(busy.endpoint().vm().id());
    }

    // Guards against a missed latency target after a price change: the old VMs are drained while
    // the
    // cheaper ones are still loading weights.
    @Test
    void surplusVmsAreKeptUntilTheirReplacementsServe() {
        final Supply cheap = supply("kg-new", 0.1);
        final Pool pool =
                new Pool(
                        new PoolName("summary"),
                        OLD,
                        1_000,
                        2,
                        List.of(GASABO, KICUKIRO, NYARUGENGE, cheap));
        final List<PoolMember> members = servingMembers(OLD);
        members.add(member("new", cheap, Set.of()));

        final List<FleetOrder> before = reconcile(pool, members, List.of());

        assertThat(before).noneMatch(FleetOrder.DrainVm.class::isInstance);
        members.remove(members.size() - 1);
        members.add(member("new", cheap, Set.of(OLD)));
        assertThat(reconcile(pool, members, List.of()))
                .filteredOn(FleetOrder.DrainVm.class::isInstance)
                .hasSize(1);
    }

    // Guards against minutes of refused requests after a version change: all engines load the new
    // version at the same time.
    @Test
    void newVersionIsLoadedByEnginesInSequence() {
        final List<FleetOrder> first = reconcile(pool(NEW, 2), servingMembers(OLD), List.of());

        assertThat(first).singleElement().isInstanceOf(FleetOrder.LoadModel.class);
        final Instant later = START.plusSeconds(600);
        assertThat(mReconciler.reconcile(view(pool(NEW, 2), servingMembers(OLD), first), later))
                .isEmpty();
    }

    @Test
    void loadsStayWithinTheRateOfTheWeightStore() {
        final List<PoolMember> members = new ArrayList<>();
        members.add(member("a", GASABO, Set.of()));
        members.add(member("b", KICUKIRO, Set.of()));
        members.add(member("c", NYARUGENGE, Set.of()));

        final List<FleetOrder> first = reconcile(pool(OLD, 2), members, List.of());
        // 1,000 bytes at 100 bytes a second: the next load may start ten seconds later.
        final Instant soon = START.plusSeconds(9);
        final Instant later = START.plusSeconds(10);

        assertThat(first).hasSize(1);
        assertThat(mReconciler.reconcile(view(pool(OLD, 2), members, first), soon)).isEmpty();
        assertThat(mReconciler.reconcile(view(pool(OLD, 2), members, first), later)).hasSize(1);
    }

    private List<FleetOrder> reconcile(
            final Pool pool, final List<PoolMember> members, final List<FleetOrder> open) {
        return mReconciler.reconcile(view(pool, members, open), START);
    }

    private static FleetView view(
            final Pool pool, final List<PoolMember> members, final List<FleetOrder> open) {
        return new FleetView(List.of(pool), members, open, 7);
    }

    private static Pool pool(final ModelRef model, final int needed) {
        return new Pool(new PoolName("summary"), model, 1_000, needed, SUPPLIES);
    }

    private static List<PoolMember> servingMembers(final ModelRef model) {
        final List<PoolMember> members = new ArrayList<>();
        for (final Supply supply : SUPPLIES) {
            members.add(member(supply.domain().name(), supply, Set.of(model)));
        }
        return members;
    }

    private static PoolMember member(
            final String name, final Supply supply, final Set<ModelRef> models) {
        final Vm vm =
                new Vm(
                        new VmId("vm-" + name),
                        "127.0.0.1",
                        supply.domain(),
                        supply.machineClass(),
                        supply.billing(),
                        VmState.LIVE);
        final Endpoint endpoint =
                Endpoint.engine(new EndpointId("engine-" + name))
                        .vm(vm)
                        .uri(URI.create("http://127.0.0.1:1"))
                        .models(models)
                        .build();
        return new PoolMember(new PoolName("summary"), endpoint, supply, 0);
    }

    private static PoolMember withState(final PoolMember member, final VmState state) {
        return new PoolMember(
                member.pool(), member.endpoint().withVmState(state), member.supply(), 0);
    }

    private static Supply supply(final String domain, final double price) {
        return new Supply(
                new FailureDomain("kigali", domain), "engine-small", Billing.RECLAIMABLE, price);
    }
}
