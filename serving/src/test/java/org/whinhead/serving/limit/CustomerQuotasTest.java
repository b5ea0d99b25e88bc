package org.whinhead.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

class CustomerQuotasTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final long RATE = 50_000;
    private static final long REQUEST = 2_000;
    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(WINDOW, 0.1, 72_000);

    /** The most that the deployment accepts in a window. */
    private static final long ACCEPTED = Math.round((RATE * 8 + RATE) * 1.1 + 72_000);

    private static CustomerQuotas quotas(final Instant startedAt) {
        final CustomerQuotas quotas = new CustomerQuotas(TOLERANCE);
        quotas.configure(
                List.of(
                        new CustomerAccount(
                                "clinic",
                                List.of("key"),
                                OptionalInt.empty(),
                                new TokenAllowance(RATE, RATE, 200))),
                startedAt);
        return quotas;
    }

    private static long worstWindow(final List<Instant> admitted) {
        long worst = 0;
        for (final Instant from : admitted) {
            final long inWindow =
                    admitted.stream()
                            .filter(at -> !at.isBefore(from) && at.isBefore(from.plus(WINDOW)))
                            .count();
            worst = Math.max(worst, inWindow * REQUEST);
        }
        return worst;
    }

    @Test
    void nothingBelowTheAllowanceIsRefused() {
        final CustomerQuotas quotas = quotas(START);
        for (int request = 0; request < 500; request++) {
            final Instant now = START.plusMillis(request * 41L);
            assertThat(quotas.admit("clinic", REQUEST, now)).isTrue();
        }
    }

    // A customer spends far beyond its allowance. Its callers all reach one failure domain, so each
    // of three daemons admits on its own what the customer may spend in all.
    @Test
    void daemonsThatHearEachOtherStayWithinTheAllowance() {
        final List<CustomerQuotas> daemons = List.of(quotas(START), quotas(START), quotas(START));
        final List<Instant> admitted = new ArrayList<>();
        for (int step = 0; step < 2_000; step++) {
            final Instant now = START.plusMillis(step * 10L);
            if (daemons.get(step % 3).admit("clinic", REQUEST, now)) {
                admitted.add(now);
            }
            if (step % 20 == 0) {
                report(daemons, now);
            }
        }
        assertThat(worstWindow(admitted)).isBetween(RATE * 8, ACCEPTED);
    }

    // A customer floods the service with prompts, some hundred times its allowance. Its plain calls
    // cost next to nothing, yet they were refused like the prompts: the bucket was always
    // overdrawn.
    @Test
    void plainCallsOfCustomerOverItsAllowanceAreAdmitted() {
        final CustomerQuotas quotas = quotas(START);
        int refusedPrompts = 0;
        for (int step = 0; step < 1_000; step++) {
            final Instant now = START.plusMillis(step * 10L);
            for (int prompt = 0; prompt < 5; prompt++) {
                refusedPrompts += quotas.admit("clinic", REQUEST, now) ? 0 : 1;
            }
            if (step % 20 == 0) {
                assertThat(quotas.admit("clinic", 200, now)).isTrue();
            }
        }
        assertThat(refusedPrompts).isGreaterThan(4_000);
    }

    private static void report(final List<CustomerQuotas> daemons, final Instant now) {
        for (final CustomerQuotas from : daemons) {
            for (final CustomerQuotas to : daemons) {
                if (from != to) {
                    to.peerSpent(
                            "daemon-" + daemons.indexOf(from),
                            "clinic",
                            from.ownSpent().get("clinic"),
                            now);
                }
            }
        }
    }

    // A customer sends six times its usual while all daemons are killed at once. Before the kill it
    // had spent its allowance; the daemons that come back know nothing of that and admit as much
    // again within the same eight seconds.
    @Test
    void restartOfAllDaemonsDoesNotGrantTheAllowanceTwice() {
        final List<Instant> admitted = new ArrayList<>();
        final CustomerQuotas before = quotas(START.minusSeconds(20));
        for (int step = 0; step < 1_000; step++) {
            final Instant now = START.minusSeconds(10).plusMillis(step * 10L);
            if (before.admit("clinic", REQUEST, now)) {
                admitted.add(now);
            }
        }
        final Instant restarted = START.plusMillis(1_500);
        final CustomerQuotas after = quotas(restarted);
        for (int step = 0; step < 1_000; step++) {
            final Instant now = restarted.plusMillis(step * 10L);
            if (after.admit("clinic", REQUEST, now)) {
                admitted.add(now);
            }
        }
        assertThat(worstWindow(admitted)).isLessThanOrEqualTo(ACCEPTED);
    }

    // A partition leaves two daemons with callers of the same customer on both sides. Neither hears
    // what the other admits, and together they admit twice the allowance.
    @Test
    void silentDaemonIsTakenToSpendOn() {
        final CustomerQuotas left = quotas(START);
        final CustomerQuotas right = quotas(START);
        final List<Instant> admitted = new ArrayList<>();
        for (int step = 0; step < 2_000; step++) {
            final Instant now = START.plusMillis(step * 10L);
            final CustomerQuotas daemon = step % 2 == 0 ? left : right;
            if (daemon.admit("clinic", REQUEST, now)) {
                admitted.add(now);
            }
            if (step < 1_000 && step % 20 == 0) {
                report(List.of(left, right), now);
            }
        }
        assertThat(worstWindow(admitted)).isLessThanOrEqualTo(ACCEPTED);
    }

    @Test
    void refundIsSpentAgain() {
        final CustomerQuotas quotas = quotas(START.minusSeconds(20));
        assertThat(quotas.admit("clinic", REQUEST, START)).isTrue();
        final long spent = quotas.tokensLeft("clinic");
        quotas.refund("clinic", REQUEST);
        assertThat(quotas.tokensLeft("clinic")).isEqualTo(spent + REQUEST);
    }
}
