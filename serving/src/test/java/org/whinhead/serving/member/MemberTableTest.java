package org.whinhead.serving.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class MemberTableTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final MemberTable mTable = new MemberTable(member("a1", "domain-a", 1));

    private static Member member(final String name, final String domain, final int port) {
        return new Member(
                name,
                name + "-first",
                domain,
                new InetSocketAddress("127.0.0.1", port),
                new InetSocketAddress("127.0.0.1", port + 1_000));
    }

    private static InetSocketAddress address(final int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @Test
    void callersGetDaemonsOfTheirOwnDomain() {
        mTable.setSelfReady(true);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        mTable.recordReport(member("b1", "domain-b", 3), MemberStatus.READY, START);
        assertThat(mTable.addressesFor("domain-a", START)).containsExactly(address(1), address(2));
        assertThat(mTable.addressesFor("domain-b", START)).hasSize(3);
    }

    // Guards against sending new callers to a daemon that has announced its stop, where their
    // requests are cut: its own responses and those of other daemons still returned its address.
    @Test
    void leavingDaemonIsNotReturned() {
        mTable.setSelfReady(true);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY.asLeaving(), START);
        assertThat(mTable.addressesFor("domain-a", START)).containsExactly(address(1));
    }

    @Test
    void silentDaemonIsNotReturned() {
        mTable.setSelfReady(true);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        final Instant later = START.plusSeconds(2);
        assertThat(mTable.addressesFor("domain-a", later)).containsExactly(address(1));
        assertThat(mTable.silentMemberNames(later)).containsExactly("a2");
        assertThat(mTable.upCount(later)).isEqualTo(1);
        assertThat(mTable.knownCount()).isEqualTo(2);
    }

    // Guards against a daemon that stood still and takes all others for silent as it goes on,
    // though it is the one that has not read their reports.
    @Test
    void pauseOfThisDaemonIsNoSilenceOfOthers() {
        mTable.setSelfReady(true);
        mTable.expire(START);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        final Instant resumed = START.plusSeconds(40);
        mTable.expire(resumed);
        assertThat(mTable.heardPeers(false, resumed)).hasSize(1);
        assertThat(mTable.heardPeers(false, checkForSecond(resumed))).isEmpty();
    }

    private Instant checkForSecond(final Instant from) {
        Instant now = from;
        for (int check = 0; check < 5; check++) {
            now = now.plusMillis(200);
            mTable.expire(now);
        }
        return now;
    }

    // Guards against a daemon that was silent before the pause and counts as up after it.
    @Test
    void silentDaemonIsSilentAfterPauseOfThisDaemon() {
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        mTable.expire(START);
        final Instant stopped = checkForSecond(START);
        assertThat(mTable.silentMemberNames(stopped)).containsExactly("a2");
        final Instant resumed = stopped.plusSeconds(5);
        mTable.expire(resumed);
        assertThat(mTable.silentMemberNames(resumed)).containsExactly("a2");
    }

    // Guards against a report that was read before the pause was noticed and counts for longer.
    @Test
    void reportReadAfterPauseCountsFromThen() {
        mTable.expire(START);
        final Instant resumed = START.plusSeconds(5);
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, resumed);
        mTable.expire(resumed);
        final Instant later = resumed.plus(MemberTable.MIN_SILENCE_TIMEOUT).plusMillis(1);
        assertThat(mTable.heardPeers(false, later)).isEmpty();
    }

    // Guards against daemons of a large deployment that treat each other as silent, each read the
    // store and return only their own addresses: the report interval there exceeded the fixed
    // silence timeout.
    @Test
    void silenceTimeoutGrowsWithFleetSize() {
        for (int peer = 0; peer < 60; peer++) {
            mTable.recordReport(
                    member("p" + peer, "domain-b", 100 + peer), MemberStatus.READY, START);
        }
        assertThat(mTable.reportInterval().toMillis()).isBetween(1_000L, 2_000L);
        assertThat(mTable.silentMemberNames(START.plusSeconds(2))).isEmpty();
        assertThat(mTable.silentMemberNames(START.plusSeconds(5))).hasSize(60);
    }

    @Test
    void rankCountsUpDaemonsWithSmallerNames() {
        mTable.recordReport(member("a0", "domain-a", 2), MemberStatus.READY, START);
        mTable.recordReport(member("b1", "domain-b", 3), MemberStatus.READY, START);
        assertThat(mTable.rank(START)).isEqualTo(1);
        assertThat(mTable.rank(START.plusSeconds(2))).isZero();
    }

    @Test
    void restartIsDetected() {
        mTable.recordReport(member("a2", "domain-a", 2), MemberStatus.READY, START);
        final Member restarted =
                new Member("a2", "a2-second", "domain-a", address(2), address(1_002));
        assertThat(mTable.recordReport(restarted, MemberStatus.READY, START)).contains("a2-first");
    }

    private static MemberStatus cutOff() {
        return new MemberStatus(true, false, true, OptionalInt.empty());
    }

    // Guards against sending callers to a daemon that can serve them only through another one.
    @Test
    void daemonThatIsCutOffFromEndpointsIsNotReturned() {
        mTable.setSelfReady(true);
        mTable.recordReport(member("a2", "domain-a", 2), cutOff(), START);
        mTable.recordReport(member("b1", "domain-b", 3), MemberStatus.READY, START);
        assertThat(mTable.addressesFor("domain-a", START)).containsExactly(address(1), address(3));
        mTable.setSelfCutOff(true);
        assertThat(mTable.addressesFor("domain-a", START)).containsExactly(address(3));
    }

    // Guards against callers that get no address at all: every daemon is cut off.
    @Test
    void daemonsAreReturnedIfAllAreCutOff() {
        mTable.setSelfReady(true);
        mTable.setSelfCutOff(true);
        mTable.recordReport(member("a2", "domain-a", 2), cutOff(), START);
        assertThat(mTable.addressesFor("domain-a", START)).containsExactly(address(1), address(2));
    }
}
