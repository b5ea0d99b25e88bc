package org.whinhead.serving.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SpeedNewsBudgetTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final SpeedNewsBudget mBudget = new SpeedNewsBudget();

    private int taken(final int daemons, final int fromMillis, final int untilMillis) {
        int taken = 0;
        for (int millis = fromMillis; millis < untilMillis; millis += 60) {
            taken += mBudget.take(daemons, START.plusMillis(millis)) ? 1 : 0;
        }
        return taken;
    }

    @Test
    void oneChangeIsToldInFull() {
        assertThat(taken(330, 0, 480)).isEqualTo(8);
    }

    @Test
    void budgetIsFullAgainAfterPause() {
        taken(61, 0, 480);
        assertThat(taken(61, 12_000, 12_480)).isEqualTo(8);
    }

    // Guards against daemons of a large deployment that only read each other's news.
    @ParameterizedTest
    @CsvSource({"8, 64", "61, 7", "330, 1"})
    void rateIsDividedAmongDaemons(final int daemons, final int inTenSeconds) {
        taken(daemons, 0, 2_400);
        assertThat(taken(daemons, 2_400, 12_400)).isBetween(inTenSeconds - 1, inTenSeconds + 1);
    }

    @Test
    void daemonWithoutOthersMayTell() {
        assertThat(mBudget.take(1, START)).isTrue();
    }
}
