package org.whinhead.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

class MembershipTest {

    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final Duration MINUTE = Duration.ofMinutes(1);

    // Guards against callers directed to a daemon that stops within seconds: a VM list that lags
    // behind the leaving notice still says "live", and must not override the notice.
    @Test
    void olderListDoesNotReviveLeavingVm() {
        final FakeCluster cluster = new FakeCluster(9);
        cluster.run(SETTLE_TIME);
        final VmId leaving = cluster.id(4);
        final Instant goneBy = cluster.now().plusSeconds(30);
        cluster.membership(0)
                .noticeReceived(new LeavingNotice(Set.of(leaving), goneBy), cluster.now());
        cluster.run(SETTLE_TIME);
        cluster.deliverList(cluster.now());
        assertThat(cluster.allSee(leaving, VmState.LEAVING)).isTrue();
        cluster.run(MINUTE);
        cluster.deliverList(cluster.now());
        assertThat(cluster.allSee(leaving, VmState.GONE)).isTrue();
    }

    // Guards against links flooded when a domain is reclaimed and the cloud sends a notice for each
    // VM, moments apart: each daemon must send at most one message on each link.
    @Test
    void wholeDomainLeavesInOneAnnouncement() {
        final FakeCluster cluster = new FakeCluster(30);
        cluster.run(SETTLE_TIME);
        final Set<VmId> east =
                Set.copyOf(
                        cluster.membership(0).view().daemons().stream()
                                .filter(m -> m.vm().domain().region().equals("east"))
                                .map(DaemonMember::id)
                                .toList());
        Instant goneBy = cluster.now().plusSeconds(30);
        for (final VmId vm : east) {
            goneBy = goneBy.plusMillis(10);
            cluster.membership(0)
                    .noticeReceived(new LeavingNotice(Set.of(vm), goneBy), cluster.now());
        }
        cluster.run(SETTLE_TIME);
        assertThat(cluster.announcementsPerLink())
                .hasSizeGreaterThan(28)
                .allMatch(count -> count == 1);
        assertThat(east).hasSize(15).allMatch(vm -> cluster.allSee(vm, VmState.LEAVING));
    }

    // Guards against work given up because of silence alone. A daemon that dies without a notice
    // gets no new callers, but is gone only after two newer lists without it.
    @Test
    void silentVmIsSuspectUntilTwoListsOmitIt() {
        final FakeCluster cluster = new FakeCluster(9);
        cluster.run(SETTLE_TIME);
        final VmId dead = cluster.id(8);
        cluster.kill(dead);
        cluster.run(MINUTE);
        assertThat(cluster.allSee(dead, VmState.SUSPECT)).isTrue();
        assertThat(cluster.countPairsSeeing(VmState.LIVE)).isEqualTo(8 * 8);
        final List<DaemonMember> others =
                cluster.membership(0).view().daemons().stream()
                        .filter(m -> !m.id().equals(dead))
                        .toList();
        cluster.membership(0)
                .listReceived(new VmListSnapshot(cluster.now(), others, List.of()), cluster.now());
        assertThat(stateAt(cluster, 0, dead)).isEqualTo(VmState.SUSPECT);
        cluster.membership(0)
                .listReceived(
                        new VmListSnapshot(cluster.now().plusMillis(1), others, List.of()),
                        cluster.now());
        assertThat(stateAt(cluster, 0, dead)).isEqualTo(VmState.GONE);
    }

    // Guards against daemons given up, and a burst of messages afterwards, when two regions are
    // partitioned for an hour. Callers must get addresses of their own side, and after the
    // partition all daemons must be live again.
    @Test
    void partitionSuspectsPeersAndHealsWithoutMessageBurst() {
        final FakeCluster cluster = new FakeCluster(30);
        cluster.run(MINUTE);
        final long quiet = sentIn(cluster, MINUTE);
        cluster.network(
                (from, to) ->
                        isEast(from) == isEast(to)
                                ? Optional.of(Duration.ofMillis(2))
                                : Optional.empty());
        cluster.run(Duration.ofHours(1));
        assertThat(cluster.countPairsSeeing(VmState.GONE)).isZero();
        assertThat(cluster.countPairsSeeing(VmState.SUSPECT)).isEqualTo(2 * 15 * 15);
        assertThat(cluster.membership(0).view().callerAddresses()).hasSize(15);
        cluster.heal();
        final long healing = sentIn(cluster, MINUTE);
        assertThat(cluster.countPairsSeeing(VmState.LIVE)).isEqualTo(30 * 30);
        assertThat(healing).isLessThan(2 * quiet);
        final List<URI> addresses = cluster.membership(0).view().callerAddresses();
        assertThat(addresses.subList(0, 15))
                .allMatch(uri -> !isEast(new VmId(uri.getPath().substring(1))));
    }

    // Guards against a VM with a starved CPU, whose messages arrive seconds late and in bursts,
    // being suspected: it would lose its callers, and its work would be done twice.
    @Test
    void slowDaemonIsNotSuspected() {
        final FakeCluster cluster = new FakeCluster(9);
        cluster.run(SETTLE_TIME);
        final VmId slow = cluster.id(3);
        final long[] turn = {0};
        cluster.network(
                (from, to) ->
                        Optional.of(
                                from.equals(slow)
                                        ? Duration.ofMillis(500 + 400 * (turn[0]++ % 7))
                                        : Duration.ofMillis(2)));
        for (int i = 0; i < 120; i++) {
            cluster.run(Duration.ofSeconds(1));
            assertThat(cluster.countPairsSeeing(VmState.LIVE)).isEqualTo(9 * 9);
        }
    }

    // Guards against a suspicion because of one broken link between two live daemons: the daemon
    // that receives nothing must probe through others before it suspects the peer.
    @Test
    void indirectProbesPreventSuspicionOverBrokenLink() {
        final FakeCluster cluster = new FakeCluster(9);
        cluster.run(SETTLE_TIME);
        cluster.network(
                (from, to) ->
                        from.equals(cluster.id(1)) && to.equals(cluster.id(2))
                                ? Optional.empty()
                                : Optional.of(Duration.ofMillis(2)));
        cluster.run(MINUTE);
        assertThat(cluster.countPairsSeeing(VmState.LIVE)).isEqualTo(9 * 9);
    }

    // Guards against a view without any live peer after the own process was paused for a minute,
    // when every peer looks silent at once.
    @Test
    void ownPauseSuspectsNoPeer() {
        final FakeCluster cluster = new FakeCluster(9);
        cluster.run(SETTLE_TIME);
        final Membership paused = cluster.membership(0);
        paused.tick(cluster.now().plus(MINUTE));
        paused.tick(cluster.now().plus(MINUTE).plusMillis(100));
        assertThat(paused.view().callerAddresses()).hasSize(9);
    }

    // Guards against a daemon with a valid certificate that describes another one with an address
    // of its own choice, to redirect the other's callers.
    @Test
    void daemonCannotDescribeAnother() {
        final FakeCluster cluster = new FakeCluster(9);
        final DaemonMember known = cluster.membership(0).view().daemon(cluster.id(1)).orElseThrow();
        final DaemonMember moved =
                new DaemonMember(known.vm(), known.address(), URI.create("http://10.9.9.9/"));
        final MembershipMessage heartbeat =
                new MembershipMessage.Heartbeat(1, 0, Optional.of(moved));
        cluster.membership(0).messageReceived(cluster.id(2), heartbeat, cluster.now());
        assertThat(cluster.membership(0).view().daemon(cluster.id(1))).contains(known);
        cluster.membership(0).messageReceived(cluster.id(1), heartbeat, cluster.now());
        assertThat(cluster.membership(0).view().daemon(cluster.id(1))).contains(moved);
    }

    private static VmState stateAt(final FakeCluster cluster, final int index, final VmId vm) {
        return cluster.membership(index).view().daemon(vm).orElseThrow().vm().state();
    }

    private static boolean isEast(final VmId vm) {
        return Integer.parseInt(vm.value().substring("vm-".length())) % 2 == 1;
    }

    private static long sentIn(final FakeCluster cluster, final Duration time) {
        final long before = cluster.sent();
        cluster.run(time);
        return cluster.sent() - before;
    }
}
