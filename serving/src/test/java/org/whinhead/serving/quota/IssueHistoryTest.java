package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class IssueHistoryTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final ShareLimits LIMITS = new ShareLimits(WINDOW, 1_000, 4_000, 300, 200, 150);

    private final IssueHistory mHistory = new IssueHistory(START);

    private double levelAfter(final long millis) {
        return mHistory.level(LIMITS, START.plusMillis(millis));
    }

    @Test
    void emptyHistoryHasCapacity() {
        assertThat(levelAfter(0)).isEqualTo(4_000);
        assertThat(mHistory.isEmpty()).isTrue();
    }

    @Test
    void levelRisesAtRefillRateAfterBurst() {
        mHistory.add(4_000, START);
        assertThat(levelAfter(0)).isZero();
        assertThat(levelAfter(1_500)).isEqualTo(1_500);
    }

    // The refill rate is lower than the allowance's rate. Without the end of the window a customer
    // at its rate would be refused for good.
    @Test
    void issuesBeforeTheWindowDoNotCount() {
        mHistory.add(6_000, START);
        mHistory.add(4_000, START.plusSeconds(4));
        assertThat(levelAfter(8_000)).isEqualTo(2_000);
        assertThat(levelAfter(8_001)).isEqualTo(4_000);
        mHistory.dropBefore(START.plusSeconds(5));
        assertThat(mHistory.isEmpty()).isTrue();
    }

    @Test
    void gainTellsThatBurstLeavesTheWindow() {
        mHistory.add(3_000, START);
        mHistory.add(9_000, START.plusSeconds(1));
        assertThat(mHistory.gainPerSecond(LIMITS, START.plusSeconds(4))).isEqualTo(1_000);
        assertThat(mHistory.gainPerSecond(LIMITS, START.plusMillis(7_950))).isGreaterThan(4_000);
    }

    // However the tokens are asked for, no time up to the window may contain more than the
    // capacity and the refill of that time, or the fleet admits more than is accepted.
    @Property(tries = 200, seed = "19")
    void noTimeUpToTheWindowExceedsBurstAndRefill(@ForAll final long seed) {
        final Random random = new Random(seed);
        final IssueHistory history = new IssueHistory(START);
        final List<long[]> issues = new ArrayList<>();
        long millis = 0;
        for (int issue = 0; issue < 400; issue++) {
            millis += random.nextInt(random.nextInt(10) == 0 ? 1_500 : 60);
            final Instant now = START.plusMillis(millis);
            final long tokens = 1 + random.nextInt(900);
            if (history.level(LIMITS, now) >= tokens) {
                history.add(tokens, now);
                issues.add(new long[] {millis, tokens});
            }
        }
        for (int first = 0; first < issues.size(); first++) {
            long sum = 0;
            for (final long[] issue : issues.subList(first, issues.size())) {
                final long time = issue[0] - issues.get(first)[0];
                if (time > WINDOW.toMillis()) {
                    break;
                }
                sum += issue[1];
                assertThat((double) sum).isLessThanOrEqualTo(LIMITS.capacityTokens() + time + 1e-6);
            }
        }
    }
}
