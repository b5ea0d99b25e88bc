package org.whinhead.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ServiceRetryBudgetTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    // Guards against a multiplied load on a service that fails half of its requests, as each daemon
    // retries every failure. The budget allows a share of the requests and a fixed number.
    @Test
    void allDaemonsTogetherStayWithinTheBudget() {
        int retries = 0;
        for (int daemon = 0; daemon < 8; daemon++) {
            final ServiceRetryBudget budget =
                    new ServiceRetryBudget(0.2, 56, Duration.ofSeconds(10));
            budget.setDaemonCount(8, 8);
            for (int request = 0; request < 100; request++) {
                final Instant now = START.plusMillis(request * 50L);
                budget.recordRequest("pool", now);
                retries += budget.tryRetry("pool", now) ? 1 : 0;
            }
        }
        assertThat(retries).isBetween(100, (int) (0.2 * 800 + 56));
    }

    // All 95 daemons restart while a service fails. Each knows of no other daemon at first; if it
    // used all fixed retries, the service would get up to 95 times as many.
    @Test
    void startingDaemonsUseOnlyTheirPartOfFixedRetries() {
        int retries = 0;
        for (int daemon = 0; daemon < 95; daemon++) {
            final ServiceRetryBudget budget =
                    new ServiceRetryBudget(0.2, 230, Duration.ofSeconds(10));
            budget.setDaemonCount(1, daemon % 2 == 0 ? 0 : 95);
            for (int request = 0; request < 20; request++) {
                final Instant now = START.plusMillis(request * 50L);
                budget.recordRequest("pool", now);
                retries += budget.tryRetry("pool", now) ? 1 : 0;
            }
        }
        assertThat(retries).isBetween(1, (int) (0.2 * 95 * 20 + 230));
    }

    @Test
    void budgetRecoversAfterWindow() {
        final ServiceRetryBudget budget = new ServiceRetryBudget(0, 2, Duration.ofSeconds(10));
        budget.setDaemonCount(1, 1);
        assertThat(budget.tryRetry("pool", START)).isTrue();
        assertThat(budget.tryRetry("pool", START)).isFalse();
        assertThat(budget.tryRetry("pool", START.plusSeconds(12))).isTrue();
    }
}
