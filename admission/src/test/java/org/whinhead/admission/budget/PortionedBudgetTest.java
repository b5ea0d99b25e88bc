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

    // A new holder doesn't know the portions that a failed one granted. If it granted tokens before
    // the end of that window, the team would spend the same tokens twice.
    @Test
    void newHolderStartsAtTheEndOfThePreviousWindow() {
        final PortionAllocator first = allocator(FIRST, START);
        final PortionAllocator second = allocator(SECOND, START);
        final GrantWindow window = first.nextWindow(START).orElseThrow();
        first.applyWindow(window);
        second.applyWindow(window);
        final Instant failure = START.plusSeconds(3);
        assertThat(first.grant(request(1, 10, 10), failure)).isPresent();
        second.applyWindow(second.nextWindow(failure).orElseThrow());
        assertThat(second.grant(request(2, 10, 10), failure)).isEmpty();
        final Instant end = window.until();
        assertThat(second.grant(request(2, 10, 10), end).orElseThrow().tokens()).isZero();
        assertThat(second.grant(request(3, 10, 10), end.plusSeconds(1)).orElseThrow().tokens())
                .isEqualTo(10);
    }

    // A holder that is paused past its window still regards itself as the holder.
    @Test
    void holderPausedPastItsWindowGrantsNothing() {
        final PortionAllocator allocator = allocator(FIRST, START);
        final GrantWindow window = allocator.nextWindow(START).orElseThrow();
        allocator.applyWindow(window);
        assertThat(allocator.grant(request(1, 10, 10), window.until())).isEmpty();
    }

    // A daemon repeats its request after a lost answer, and the second answer is duplicated. The
    // team must be charged for one portion, and the daemon must have one portion to spend.
    @Test
    void lostAndDuplicatedAnswersCountOnce() {
        final PortionAllocator allocator = allocator(FIRST, START);
        allocator.applyWindow(allocator.nextWindow(START).orElseThrow());
        final PortionedBudget budget = budget();
        final Instant now = START.plusSeconds(4);
        assertThat(reserve(budget, "r1", 30, now)).isEqualTo(BudgetDecision.Kind.PENDING);
        final PortionRequest asked = budget.portionRequests(now).get(0);
        final Portion lostAnswer = allocator.grant(asked, now).orElseThrow();
        final Instant again = now.plus(SETTINGS.resendInterval());
        assertThat(budget.portionRequests(again)).containsExactly(asked);
        final Portion answer = allocator.grant(asked, again).orElseThrow();
        assertThat(answer).isEqualTo(lostAnswer);
        budget.portionReceived(answer, again);
        budget.portionReceived(answer, again);
        assertThat(reserve(budget, "r1", answer.tokens(), again))
                .isEqualTo(BudgetDecision.Kind.RESERVED);
        assertThat(reserve(budget, "r2", 1, again)).isEqualTo(BudgetDecision.Kind.PENDING);
    }

    // Without a holder, callers of the team must get half the daemon's even share and a retry delay
    // for the rest, rather than nothing or unlimited tokens.
    @Test
    void withoutHolderSpendsFallbackShareAndRefusesTheRest() {
        final PortionedBudget budget = budget();
        assertThat(reserve(budget, "r0", 20, START)).isEqualTo(BudgetDecision.Kind.PENDING);
        budget.portionRequests(START);
        final Instant unavailable = START.plus(SETTINGS.holderTimeout());
        budget.portionRequests(unavailable);
        assertThat(reserve(budget, "r1", 20, unavailable)).isEqualTo(BudgetDecision.Kind.REFUSED);
        final Instant later = unavailable.plusSeconds(1);
        assertThat(reserve(budget, "r2", 20, later)).isEqualTo(BudgetDecision.Kind.RESERVED);
        assertThat(reserve(budget, "r3", 20, later)).isEqualTo(BudgetDecision.Kind.REFUSED);
    }

    // A request for more tokens than the burst must be granted from a full bucket, and only once.
    @Test
    void requestLargerThanTheBurstIsGrantedOnceInAdvance() {
        final PortionAllocator allocator = allocator(FIRST, START);
        allocator.applyWindow(allocator.nextWindow(START).orElseThrow());
        final Instant full = START.plus(SETTINGS.burst());
        assertThat(allocator.grant(request(1, 800, 800), full).orElseThrow().tokens())
                .isEqualTo(800);
        assertThat(allocator.grant(request(2, 1, 1), full.plusSeconds(2)).orElseThrow().tokens())
                .isZero();
    }

    @Test
    void unusedTokensAreReusedUntilThePortionExpires() {
        final PortionedBudget budget = budget();
        reserve(budget, "r1", 30, START);
        final long number = budget.portionRequests(START).get(0).number();
        budget.portionReceived(
                new Portion(TEAM, number, 35, START.plus(SETTINGS.portionLife())), START);
        reserve(budget, "r1", 30, START);
        budget.settle(new RequestId("r1"), 10, START);
        assertThat(reserve(budget, "r2", 20, START)).isEqualTo(BudgetDecision.Kind.RESERVED);
        budget.settle(new RequestId("r2"), 0, START.plus(SETTINGS.portionLife()));
        assertThat(reserve(budget, "r3", 1, START.plus(SETTINGS.portionLife())))
                .isEqualTo(BudgetDecision.Kind.PENDING);
    }

    private static PortionAllocator allocator(final DaemonId own, final Instant now) {
        final PortionAllocator allocator = new PortionAllocator(own, SETTINGS);
        allocator.ratesChanged(RATES, now);
        return allocator;
    }

    private static PortionedBudget budget() {
        final PortionedBudget budget = new PortionedBudget(FIRST, SETTINGS);
        budget.ratesChanged(RATES, 2, START);
        return budget;
    }

    private static PortionRequest request(final long number, final long least, final long wanted) {
        return new PortionRequest(FIRST, TEAM, number, least, wanted);
    }

    private static BudgetDecision.Kind reserve(
            final PortionedBudget budget,
            final String request,
            final long tokens,
            final Instant now) {
        return budget.reserve(new RequestId(request), TEAM, tokens, now).kind();
    }
}
