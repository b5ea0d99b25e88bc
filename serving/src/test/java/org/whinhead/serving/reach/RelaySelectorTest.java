package org.whinhead.serving.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.member.Relay;

class RelaySelectorTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final MemberStatus RELAYING =
            new MemberStatus(true, false, false, OptionalInt.of(7601));
    private static final MemberStatus CUT_OFF =
            new MemberStatus(true, false, true, OptionalInt.of(7601));

    private final MemberTable mMembers = new MemberTable(member("a1", "domain-a"));
    private final RelaySelector mSelector = new RelaySelector(mMembers, new Random(1));

    private static Member member(final String name, final String domain) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7600);
        return new Member(name, name + "-first", domain, address, address);
    }

    private List<String> select(final Instant now) {
        return mSelector.select(10, now).stream().map(Relay::daemon).toList();
    }

    @Test
    void relaysOfTheOwnDomainAreUsedIfThereAreSeveral() {
        mMembers.recordReport(member("a2", "domain-a"), RELAYING, START);
        mMembers.recordReport(member("b1", "domain-b"), RELAYING, START);
        assertThat(select(START)).containsExactlyInAnyOrder("a2", "b1");
        mMembers.recordReport(member("a3", "domain-a"), RELAYING, START);
        assertThat(select(START)).containsExactlyInAnyOrder("a2", "a3");
    }

    // Guards against asking daemons that can't help: cut off as well, leaving, silent, or of a
    // version that relays nothing.
    @Test
    void daemonsThatCannotRelayAreNotSelected() {
        mMembers.recordReport(member("b1", "domain-b"), CUT_OFF, START);
        mMembers.recordReport(member("b2", "domain-b"), RELAYING.asLeaving(), START);
        mMembers.recordReport(member("b3", "domain-b"), MemberStatus.READY, START);
        mMembers.recordReport(member("b4", "domain-b"), RELAYING, START.minusSeconds(5));
        assertThat(select(START)).isEmpty();
    }

    @Test
    void daemonThatDidNotRelayIsUsedAgainLater() {
        mMembers.recordReport(member("b1", "domain-b"), RELAYING, START);
        mMembers.recordReport(member("b2", "domain-b"), RELAYING, START);
        mSelector.recordFailure("b1", START);
        assertThat(select(START)).containsExactly("b2");
        mSelector.recordFailure("b2", START);
        assertThat(select(START)).containsExactlyInAnyOrder("b1", "b2");
        mMembers.recordReport(member("b1", "domain-b"), RELAYING, START.plusSeconds(3));
        assertThat(select(START.plusSeconds(3))).containsExactly("b1");
    }

    @Test
    void requestsAreSpreadOverTheRelays() {
        mMembers.recordReport(member("b1", "domain-b"), RELAYING, START);
        mMembers.recordReport(member("b2", "domain-b"), RELAYING, START);
        final List<String> firsts =
                java.util.stream.IntStream.range(0, 40)
                        .mapToObj(index -> mSelector.select(1, START).get(0).daemon())
                        .toList();
        assertThat(firsts).contains("b1", "b2");
    }
}
