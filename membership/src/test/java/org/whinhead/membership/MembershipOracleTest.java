package org.whinhead.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

class MembershipOracleTest {

    private static final int VMS = 4;
    private static final Instant START = FakeCluster.START;

    /** A VM list or a leaving notice about some VMs. */
    record Step(boolean list, int vms, int leaving, int asOfLag, int goneIn, int elapsed) {
        boolean names(final int vm) {
            return (vms >> vm & 1) == 1;
        }

        boolean leaves(final int vm) {
            return (leaving >> vm & 1) == 1;
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        final Arbitrary<Integer> mask = Arbitraries.integers().between(1, (1 << VMS) - 1);
        final Arbitrary<Integer> rare = Arbitraries.of(0, 0, 0, 1, 2, 4, 8);
        final Arbitrary<Integer> small = Arbitraries.integers().between(0, 9);
        return Combinators.combine(
                        Arbitraries.of(true, true, true, false),
                        mask,
                        rare,
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(1, 60),
                        small)
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }

    // Guards against an order of lists and notices after which a leaving endpoint gets new work
    // again, or work on a live one is given up. The oracle derives each state from the whole
    // history.
    @Property(seed = "20300101", tries = 2000)
    void statesFollowFromHistory(@ForAll("steps") final List<Step> steps) {
        final Membership membership = alone();
        final Oracle oracle = new Oracle();
        Instant now = START;
        for (final Step step : steps) {
            now = now.plusSeconds(step.elapsed());
            if (step.list()) {
                final Instant asOf = now.minusSeconds(step.asOfLag());
                membership.listReceived(new VmListSnapshot(asOf, List.of(), endpoints(step)), now);
            } else {
                final Set<VmId> vms = new HashSet<>();
                endpoints(step).forEach(endpoint -> vms.add(endpoint.vm().id()));
                final Instant goneBy = now.plusSeconds(step.goneIn());
                membership.noticeReceived(new LeavingNotice(vms, goneBy), now);
            }
            membership.tick(now);
            oracle.add(step, now);
            for (int vm = 0; vm < VMS; vm++) {
                final Optional<VmState> state =
                        membership
                                .view()
                                .endpoint(new EndpointId("e" + vm))
                                .map(endpoint -> endpoint.vm().state());
                assertThat(state).isEqualTo(oracle.state(vm, now));
            }
        }
    }

    // Guards against an order of partitions, notices and waits after which daemons keep different
    // views. Once the network is whole, all daemons must see announced VMs as leaving and all
    // others as live.
    @Property(seed = "20300102", tries = 30)
    void clusterConverges(@ForAll final List<Integer> choices) {
        final FakeCluster cluster = new FakeCluster(9);
        final Set<VmId> announced = new HashSet<>();
        for (final int choice : choices.subList(0, Math.min(8, choices.size()))) {
            final int index = Math.floorMod(choice / 4, 8) + 1;
            switch (Math.floorMod(choice, 4)) {
                case 0 ->
                        cluster.network(
                                (a, b) ->
                                        link(
                                                a.equals(b)
                                                        || (a.hashCode() & index)
                                                                == (b.hashCode() & index)));
                case 1 -> cluster.heal();
                case 2 -> {
                    announced.add(cluster.id(index));
                    final Instant goneBy = cluster.now().plus(Duration.ofHours(2));
                    cluster.membership(0)
                            .noticeReceived(
                                    new LeavingNotice(Set.of(cluster.id(index)), goneBy),
                                    cluster.now());
                }
                default -> cluster.run(Duration.ofSeconds(5L * index));
            }
        }
        cluster.heal();
        cluster.run(Duration.ofMinutes(1));
        final int live = 9 - announced.size();
        assertThat(cluster.countPairsSeeing(VmState.LEAVING)).isEqualTo(9L * announced.size());
        assertThat(cluster.countPairsSeeing(VmState.LIVE)).isEqualTo(9L * live);
    }

    private static Optional<Duration> link(final boolean whole) {
        return whole ? Optional.of(Duration.ofMillis(2)) : Optional.empty();
    }

    private static Membership alone() {
        final MembershipActions actions =
                new MembershipActions() {
                    @Override
                    public void send(final DaemonAddress to, final MembershipMessage message) {
                        throw new AssertionError("nobody to send to");
                    }

                    @Override
                    public void viewChanged(final MembershipView view) {
                        // The test reads the newest view from the membership.
                    }
                };
        return new Membership(
                MembershipSettings.defaults(),
                FakeCluster.member("self", "west"),
                1,
                new SplittableRandom(1),
                actions,
                START);
    }

    private static List<Endpoint> endpoints(final Step step) {
        final List<Endpoint> endpoints = new ArrayList<>();
        for (int vm = 0; vm < VMS; vm++) {
            if (step.names(vm)) {
                final VmState state = step.leaves(vm) ? VmState.LEAVING : VmState.LIVE;
                endpoints.add(
                        Endpoint.engine(new EndpointId("e" + vm))
                                .vm(FakeCluster.member("v" + vm, "west").vm().withState(state))
                                .uri(URI.create("http://10.0.0.9:1"))
                                .build());
            }
        }
        return endpoints;
    }

    /** Computes states from all events so far, directly by the rules. */
    private static final class Oracle {
        private record Seen(Step step, Instant at) {}

        private final List<Seen> mHistory = new ArrayList<>();

        void add(final Step step, final Instant at) {
            mHistory.add(new Seen(step, at));
        }

        /** Returns the expected state, or empty while no list has contained the VM. */
        Optional<VmState> state(final int vm, final Instant now) {
            Instant newest = Instant.MIN;
            Instant firstKnown = null;
            Instant goneBy = Instant.MAX;
            boolean listed = false;
            boolean leaving = false;
            boolean gone = false;
            int missing = 0;
            for (final Seen seen : mHistory) {
                gone |= !seen.at().isBefore(goneBy);
                final Step step = seen.step();
                final Instant asOf = seen.at().minusSeconds(step.asOfLag());
                if (step.names(vm)
                        && firstKnown == null
                        && (!step.list() || asOf.isAfter(newest))) {
                    firstKnown = seen.at();
                }
                if (!step.list()) {
                    if (step.names(vm)) {
                        leaving = true;
                        final Instant end = seen.at().plusSeconds(step.goneIn());
                        goneBy = end.isBefore(goneBy) ? end : goneBy;
                    }
                } else if (asOf.isAfter(newest)) {
                    newest = asOf;
                    if (step.names(vm)) {
                        listed = true;
                        missing = 0;
                        leaving |= step.leaves(vm);
                    } else if (listed || firstKnown != null && asOf.isAfter(firstKnown)) {
                        missing++;
                        gone |= leaving || missing == 2;
                    }
                }
            }
            gone |= !now.isBefore(goneBy);
            if (!listed) {
                return Optional.empty();
            }
            if (gone) {
                return Optional.of(VmState.GONE);
            }
            if (leaving) {
                return Optional.of(VmState.LEAVING);
            }
            return Optional.of(missing > 0 ? VmState.SUSPECT : VmState.LIVE);
        }
    }
}
