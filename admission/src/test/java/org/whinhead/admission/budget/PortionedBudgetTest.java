package org.whinhead.admission.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.admission.BudgetDecision;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

class PortionedBudgetTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final TeamId TEAM = new TeamId("clinics");
    private static final List<TeamRate> RATES = List.of(new TeamRate(TEAM, 100));
    private static final DaemonId FIRST = new DaemonId("d1");
    private static final DaemonId SECOND = new DaemonId("d2");
    private static final BudgetSettings SETTINGS = BudgetSettings.DEFAULT;

    // The holder gave out its window's income and dies. Its successor knows nothing of the
    // portions;
    // were it to start at once, the team would spend the same seconds twice.
    @Test
    void successorStartsWhereTheDeadHoldersWindowEnds() {
        final PortionAllocator first = holder(FIRST, START);
        final PortionAllocator second = holder(SECOND, START);
        final GrantWindow window = first.nextWindow(START).orElseThrow();
        first.applyWindow(window);
        second.applyWindow(window);
        final Instant death = START.plusSeconds(3);
        assertThat(first.grant(question(1, 10, 10), death)).isPresent();
        second.applyWindow(second.nextWindow(death).orElseThrow());
        assertThat(second.grant(question(2, 10, 10), death)).isEmpty();
        final Instant end = window.until();
        assertThat(second.grant(question(2, 10, 10), end).orElseThrow().tokens()).isZero();
        assertThat(second.grant(question(3, 10, 10), end.plusSeconds(1)).orElseThrow().tokens())
                .isEqualTo(10);
    }

    // The holder is paused past its window and wakes up in the belief that it still holds.
    @Test
    void holderThatWasPausedPastItsWindowGivesNothing() {
        final PortionAllocator holder = holder(FIRST, START);
        final GrantWindow window = holder.nextWindow(START).orElseThrow();
        holder.applyWindow(window);
        assertThat(holder.grant(question(1, 10, 10), window.until())).isEmpty();
    }

    // An answer is lost, so the daemon asks again; the network doubles the second answer. The team
    // pays for one portion, and the daemon has one portion to spend.
    @Test
    void lostAndDoubledAnswersCountOnce() {
        final PortionAllocator holder = holder(FIRST, START);
        holder.applyWindow(holder.nextWindow(START).orElseThrow());
        final PortionedBudget ledger = ledger();
        final Instant now = START.plusSeconds(4);
        assertThat(reserve(ledger, "r1", 30, now)).isEqualTo(BudgetDecision.Kind.PENDING);
        final PortionRequest asked = ledger.portionRequests(now).get(0);
        final Portion lost = holder.grant(asked, now).orElseThrow();
        final Instant again = now.plus(SETTINGS.resendInterval());
        assertThat(ledger.portionRequests(again)).containsExactly(asked);
        final Portion answer = holder.grant(asked, again).orElseThrow();
        assertThat(answer).isEqualTo(lost);
        ledger.portionReceived(answer, again);
        ledger.portionReceived(answer, again);
        assertThat(reserve(ledger, "r1", answer.tokens(), again))
                .isEqualTo(BudgetDecision.Kind.RESERVED);
        assertThat(reserve(ledger, "r2", 1, again)).isEqualTo(BudgetDecision.Kind.PENDING);
    }

    // The holder is gone and nobody follows. Callers of the team get half the daemon's even share
    // and are told when to come back for the rest, rather than nothing or without bound.
    @Test
    void withoutHolderTheEvenShareIsSpentAndTheRestRefused() {
        final PortionedBudget ledger = ledger();
        assertThat(reserve(ledger, "r0", 20, START)).isEqualTo(BudgetDecision.Kind.PENDING);
        ledger.portionRequests(START);
        final Instant away = START.plus(SETTINGS.holderTimeout());
        ledger.portionRequests(away);
        assertThat(reserve(ledger, "r1", 20, away)).isEqualTo(BudgetDecision.Kind.REFUSED);
        final Instant later = away.plusSeconds(1);
        assertThat(reserve(ledger, "r2", 20, later)).isEqualTo(BudgetDecision.Kind.RESERVED);
        assertThat(reserve(ledger, "r3", 20, later)).isEqualTo(BudgetDecision.Kind.REFUSED);
    }

    // A summary may take more tokens than the team saves up in a burst. It is paid ahead, once.
    @Test
    void requestLargerThanTheBurstIsPaidAheadOnce() {
        final PortionAllocator holder = holder(FIRST, START);
        holder.applyWindow(holder.nextWindow(START).orElseThrow());
        final Instant full = START.plus(SETTINGS.burst());
        assertThat(holder.grant(question(1, 800, 800), full).orElseThrow().tokens()).isEqualTo(800);
        assertThat(holder.grant(question(2, 1, 1), full.plusSeconds(2)).orElseThrow().tokens())
                .isZero();
    }

    @Test
    void unusedTokensAreSpentAgainUntilThePortionExpires() {
        final PortionedBudget ledger = ledger();
        reserve(ledger, "r1", 30, START);
        final long number = ledger.portionRequests(START).get(0).number();
        ledger.portionReceived(
                new Portion(TEAM, number, 35, START.plus(SETTINGS.portionLife())), START);
        reserve(ledger, "r1", 30, START);
        ledger.settle(new RequestId("r1"), 10, START);
        assertThat(reserve(ledger, "r2", 20, START)).isEqualTo(BudgetDecision.Kind.RESERVED);
        ledger.settle(new RequestId("r2"), 0, START.plus(SETTINGS.portionLife()));
        assertThat(reserve(ledger, "r3", 1, START.plus(SETTINGS.portionLife())))
                .isEqualTo(BudgetDecision.Kind.PENDING);
    }

    private static PortionAllocator holder(final DaemonId own, final Instant now) {
        final PortionAllocator holder = new PortionAllocator(own, SETTINGS);
        holder.ratesChanged(RATES, now);
        return holder;
    }

    private static PortionedBudget ledger() {
        final PortionedBudget ledger = new PortionedBudget(FIRST, SETTINGS);
        ledger.ratesChanged(RATES, 2, START);
        return ledger;
    }

    private static PortionRequest question(final long number, final long least, final long wanted) {
        return new PortionRequest(FIRST, TEAM, number, least, wanted);
    }

    private static BudgetDecision.Kind reserve(
            final PortionedBudget ledger,
            final String request,
            final long tokens,
            final Instant now) {
        return ledger.reserve(new RequestId(request), TEAM, tokens, now).kind();
    }
}
