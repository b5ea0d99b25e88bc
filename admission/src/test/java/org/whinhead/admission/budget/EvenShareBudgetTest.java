package org.whinhead.admission.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.whinhead.admission.BudgetDecision;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

class EvenShareBudgetTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final TeamId TEAM = new TeamId("clinics");
    private static final int TOKENS_PER_SECOND = 100;
    private static final int LARGEST_REQUEST_TOKENS = 400;
    private static final long BURST_SECONDS = BudgetSettings.DEFAULT.burst().toSeconds();

    // A team sends as many requests as possible to three daemons, and some don't use all reserved
    // tokens. In no interval may the reservations exceed the bound that the class documents.
    @Property(tries = 200, seed = "20260412")
    void allDaemonsTogetherStayWithinTheDocumentedBound(@ForAll final long seed) {
        final Random random = new Random(seed);
        final int daemons = 3;
        final List<EvenShareBudget> budgets = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            budgets.add(budget(daemons));
        }
        final long[] reserved = new long[40];
        for (int second = 0; second < reserved.length; second++) {
            final Instant now = START.plusSeconds(second);
            for (int i = 0; i < 20; i++) {
                final long tokens = 1 + random.nextInt(LARGEST_REQUEST_TOKENS);
                final EvenShareBudget budget = budgets.get(random.nextInt(daemons));
                final RequestId id = new RequestId(second + "-" + i);
                if (budget.reserve(id, TEAM, tokens, now).equals(BudgetDecision.RESERVED)) {
                    final long used = random.nextBoolean() ? tokens : tokens / 2;
                    budget.settle(id, used, now);
                    reserved[second] += used;
                }
            }
        }
        for (int from = 0; from < reserved.length; from++) {
            long sum = 0;
            for (int to = from; to < reserved.length; to++) {
                sum += reserved[to];
                assertThat(sum)
                        .isLessThanOrEqualTo(
                                TOKENS_PER_SECOND * (to - from + BURST_SECONDS)
                                        + daemons * LARGEST_REQUEST_TOKENS);
            }
        }
    }

    // The full bucket of one of eight daemons is smaller than the request, which must not always be
    // refused. It makes the balance negative, and the next request waits for the refill.
    @Test
    void requestLargerThanTheBurstIsReservedInAdvance() {
        final EvenShareBudget budget = budget(8);
        assertThat(budget.reserve(new RequestId("long"), TEAM, 100, START))
                .isEqualTo(BudgetDecision.RESERVED);
        final BudgetDecision next = budget.reserve(new RequestId("next"), TEAM, 25, START);
        assertThat(next.kind()).isEqualTo(BudgetDecision.Kind.REFUSED);
        assertThat(next.retryAfter().toMillis()).isEqualTo(5000);
        assertThat(budget.reserve(new RequestId("next"), TEAM, 25, START.plusSeconds(5)))
                .isEqualTo(BudgetDecision.RESERVED);
    }

    private static EvenShareBudget budget(final int daemons) {
        final EvenShareBudget budget = new EvenShareBudget(BudgetSettings.DEFAULT);
        budget.ratesChanged(List.of(new TeamRate(TEAM, TOKENS_PER_SECOND)), daemons, START);
        return budget;
    }
}
