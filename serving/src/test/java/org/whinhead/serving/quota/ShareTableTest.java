package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.serving.member.Member;

class ShareTableTest {

    private static final Instant LATER = Instant.parse("2026-01-01T02:00:00Z");

    private static InetSocketAddress daemon(final int index) {
        return InetSocketAddress.createUnresolved("daemon", 7_000 + index);
    }

    private static List<Member> members(final int count, final int domains) {
        final List<Member> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            final InetSocketAddress address = daemon(index);
            members.add(
                    new Member(
                            "edge-" + index, "1", "domain-" + index % domains, address, address));
        }
        return members;
    }

    private static Set<InetSocketAddress> holders(final ShareTable table, final String customer) {
        final Set<InetSocketAddress> holders = new HashSet<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            holders.add(table.slots().get(table.slotOf(customer, share)).holder());
        }
        return holders;
    }

    // The loss of one daemon must not take more than one share of a customer, where there are
    // enough daemons.
    @ParameterizedTest
    @ValueSource(ints = {8, 9, 18, 61, 66, 95, 330})
    void sharesOfCustomerAreAtDifferentDaemons(final int count) {
        final ShareTable table =
                ShareTable.initial(ShareHolders.interleaveDomains(members(count, 5)));
        for (int customer = 0; customer < 40; customer++) {
            assertThat(holders(table, "customer-" + customer)).hasSize(ShareLimits.SHARES);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6})
    void allDaemonsOfSmallFleetHoldShares(final int count) {
        final ShareTable table =
                ShareTable.initial(ShareHolders.interleaveDomains(members(count, 3)));
        assertThat(holders(table, "clinic")).hasSize(count);
    }

    // A failure domain is lost. With it go no more of a customer's shares than its part of them.
    @Test
    void domainHoldsItsProportionOfShares() {
        final List<Member> members = members(60, 3);
        final ShareTable table = ShareTable.initial(ShareHolders.interleaveDomains(members));
        final Set<InetSocketAddress> lost = new HashSet<>();
        members.stream()
                .filter(member -> member.domain().equals("domain-0"))
                .forEach(member -> lost.add(member.peerAddress()));
        for (int customer = 0; customer < 40; customer++) {
            final Set<InetSocketAddress> held = holders(table, "customer-" + customer);
            held.retainAll(lost);
            assertThat(held).hasSizeBetween(2, 3);
        }
    }

    @Test
    void slotsOfLostDaemonAreReassigned() {
        final ShareTable table = ShareTable.initial(List.of(daemon(1), daemon(2)));
        final ShareTable next =
                table.reassign(daemon(1)::equals, List.of(daemon(3), daemon(4)), LATER);
        assertThat(next.version()).isEqualTo(2);
        assertThat(next.hasHolder(daemon(1))).isFalse();
        assertThat(next.slots().get(0)).isEqualTo(new ShareTable.Slot(daemon(3), LATER));
        assertThat(next.slots().get(1)).isEqualTo(table.slots().get(1));
        assertThat(next.slots().get(2)).isEqualTo(new ShareTable.Slot(daemon(4), LATER));
    }

    @Test
    void tableIsUnchangedWithoutLossOrSuccessors() {
        final ShareTable table = ShareTable.initial(List.of(daemon(1), daemon(2)));
        assertThat(table.reassign(holder -> false, List.of(daemon(3)), LATER)).isSameAs(table);
        assertThat(table.reassign(holder -> true, List.of(), LATER)).isSameAs(table);
    }

    @Test
    void tableWithTooFewSlotsIsRejected() {
        assertThatThrownBy(() -> new ShareTable(1, 1, List.of()))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
