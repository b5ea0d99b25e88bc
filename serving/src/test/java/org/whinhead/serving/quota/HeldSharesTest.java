package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeldSharesTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress SELF = InetSocketAddress.createUnresolved("self", 7600);
    private static final InetSocketAddress OTHER =
            InetSocketAddress.createUnresolved("other", 7600);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final long RATE = 100_000;

    private final HeldShares mShares =
            new HeldShares(SELF, SimulatedFleet.TOLERANCE, new ClockReading(START, START));

    private static ClockReading at(final Duration time) {
        return new ClockReading(START.plus(time), START.plus(time));
    }

    private static TokenRequest request(final long id, final int slot) {
        return new TokenRequest(id, QuotaScenario.CUSTOMER, slot, 100, false);
    }

    private static int ownSlot(final ShareTable table) {
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final int slot = table.slotOf(QuotaScenario.CUSTOMER, share);
            if (table.slots().get(slot).holder().equals(SELF)) {
                return slot;
            }
        }
        throw new IllegalStateException("no own slot");
    }

    private TokenResponse.Outcome outcome(final int slot, final Duration time) {
        return mShares.handleRequest("d-1", request(time.toMillis(), slot), at(time)).outcome();
    }

    @Test
    void daemonWithoutTableIssuesNoTokens() {
        mShares.configure(QuotaScenario.customers(RATE), START);
        assertThat(outcome(0, WARM_UP)).isEqualTo(TokenResponse.Outcome.NOT_HELD);
    }

    @Test
    void onlyOwnSharesAreIssued() {
        final ShareTable table = ShareTable.initial(List.of(SELF, OTHER));
        mShares.configure(QuotaScenario.customers(RATE), START);
        mShares.updateTable(table, at(Duration.ZERO));
        final int own = ownSlot(table);
        assertThat(outcome(own, WARM_UP)).isEqualTo(TokenResponse.Outcome.ISSUED);
        assertThat(outcome((own + 1) % ShareTable.SLOTS, WARM_UP.plusMillis(1)))
                .isEqualTo(TokenResponse.Outcome.NOT_HELD);
        assertThat(outcome(-1, WARM_UP.plusMillis(2))).isEqualTo(TokenResponse.Outcome.NOT_HELD);
        assertThat(outcome(ShareTable.SLOTS, WARM_UP.plusMillis(3)))
                .isEqualTo(TokenResponse.Outcome.NOT_HELD);
    }

    // A holder is cut off from the store for hours, and its shares were given to another daemon.
    // Both would issue the same shares; the one that can't read the table stops first.
    @Test
    void holderStopsIssuingWhenItsTableExpires() {
        final ShareTable table = ShareTable.initial(List.of(SELF));
        mShares.configure(QuotaScenario.customers(RATE), START);
        mShares.updateTable(table, at(Duration.ZERO));
        final int own = ownSlot(table);
        assertThat(outcome(own, HeldShares.TABLE_VALIDITY.minusSeconds(1)))
                .isEqualTo(TokenResponse.Outcome.ISSUED);
        assertThat(outcome(own, HeldShares.TABLE_VALIDITY))
                .isEqualTo(TokenResponse.Outcome.NOT_HELD);
        mShares.updateTable(table, at(HeldShares.TABLE_VALIDITY));
        assertThat(outcome(own, HeldShares.TABLE_VALIDITY.plusSeconds(1)))
                .isEqualTo(TokenResponse.Outcome.ISSUED);
    }

    // A VM is suspended for hours. Its steady clock stands still meanwhile, so by that clock the
    // table was read a moment ago.
    @Test
    void tableExpiresDuringSuspension() {
        final ShareTable table = ShareTable.initial(List.of(SELF));
        mShares.configure(QuotaScenario.customers(RATE), START);
        mShares.updateTable(table, at(Duration.ZERO));
        final ClockReading woken =
                new ClockReading(START.plus(WARM_UP), START.plus(HeldShares.TABLE_VALIDITY));
        assertThat(mShares.handleRequest("d-1", request(1, ownSlot(table)), woken).outcome())
                .isEqualTo(TokenResponse.Outcome.NOT_HELD);
    }

    @Test
    void successorWaitsUntilPreviousHolderHasStopped() {
        final Duration wait = HeldShares.TABLE_VALIDITY.plusMinutes(1);
        final ShareTable table =
                ShareTable.initial(List.of(OTHER))
                        .reassign(OTHER::equals, List.of(SELF), START.plus(wait));
        mShares.configure(QuotaScenario.customers(RATE), START);
        mShares.updateTable(table, at(Duration.ZERO));
        final int own = ownSlot(table);
        assertThat(outcome(own, wait.minusSeconds(1))).isEqualTo(TokenResponse.Outcome.NOT_HELD);
        mShares.updateTable(table, at(wait));
        // The holder before may have issued a full share a moment ago.
        final TokenRequest large = new TokenRequest(1, QuotaScenario.CUSTOMER, own, 9_000, false);
        assertThat(mShares.handleRequest("d-1", large, at(wait)).outcome())
                .isEqualTo(TokenResponse.Outcome.TOO_FEW);
        assertThat(mShares.handleRequest("d-1", large, at(wait.plus(WARM_UP))).outcome())
                .isEqualTo(TokenResponse.Outcome.ISSUED);
    }

    @Test
    void olderTableIsIgnored() {
        final ShareTable first = ShareTable.initial(List.of(OTHER));
        final ShareTable second = first.reassign(OTHER::equals, List.of(SELF), START);
        mShares.updateTable(second, at(Duration.ZERO));
        mShares.updateTable(first, at(WARM_UP));
        assertThat(mShares.table()).contains(second);
    }

    // An operator adds a customer. Nobody has spent anything of its allowance, so its first
    // requests must not be refused.
    @Test
    void addedCustomerIsServedAtOnce() {
        final ShareTable table = ShareTable.initial(List.of(SELF));
        mShares.configure(List.of(), START);
        mShares.updateTable(table, at(Duration.ZERO));
        mShares.configure(QuotaScenario.customers(RATE), START.plus(WARM_UP));
        assertThat(outcome(ownSlot(table), WARM_UP)).isEqualTo(TokenResponse.Outcome.ISSUED);
    }

    // An operator takes a customer out and puts it back a second later. Its shares would be full
    // again, though it had just spent them.
    @Test
    void restoredCustomerKeepsItsShareLevels() {
        final ShareTable table = ShareTable.initial(List.of(SELF));
        mShares.configure(QuotaScenario.customers(RATE), START);
        mShares.updateTable(table, at(Duration.ZERO));
        final int own = ownSlot(table);
        final List<TokenResponse.Outcome> outcomes = new ArrayList<>();
        for (int claim = 0; claim < 2_000; claim++) {
            outcomes.add(mShares.handleRequest("d-1", request(claim, own), at(WARM_UP)).outcome());
        }
        assertThat(outcomes).contains(TokenResponse.Outcome.TOO_FEW);
        mShares.configure(List.of(), START.plus(WARM_UP).plusMillis(1));
        mShares.configure(QuotaScenario.customers(RATE), START.plus(WARM_UP).plusMillis(2));
        assertThat(outcome(own, WARM_UP.plusMillis(3))).isEqualTo(TokenResponse.Outcome.TOO_FEW);
    }
}
