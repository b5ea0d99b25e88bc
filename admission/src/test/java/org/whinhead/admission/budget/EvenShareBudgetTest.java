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
    private static final int RATE = 100;
    private static final int LARGEST = 400;
    private static final long BURST = BudgetSettings.DEFAULT.burst().toSeconds();

    // A team sends all it can to each of three daemons, in requests of any size, some of which are
    // given back. In no interval may the daemons together reserve more than the class states.
    @Property(tries = 200, seed = "20260412")
    void allDaemonsTogetherKeepTheStatedBound(@ForAll final long seed) {
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
                final long tokens = 1 + random.nextInt(LARGEST);
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
                assertThat(sum).isLessThanOrEqualTo(RATE * (to - from + BURST) + daemons * LARGEST);
            }
        }
    }

    // One daemon of eight has saved up less than one long answer may take. The request must not be
    // refused for ever: it is paid ahead, and the next one waits until the debt is paid.
    @Test
    void requestAboveTheBurstIsPaidAhead() {
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
        budget.ratesChanged(List.of(new TeamRate(TEAM, RATE)), daemons, START);
        return budget;
    }
}
