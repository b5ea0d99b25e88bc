package org.whinhead.serving.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

class UsageDeciderTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);

    private final UsageLedger mLedger = new UsageLedger("self");
    private final UsageDecider mDecider =
            new UsageDecider(new UsageWindows(Duration.ofSeconds(5)), mLedger, START);

    @Test
    void windowIsDecidedOnceItsCountsHaveArrived() {
        mLedger.recordStart(200, "clinic");
        assertThat(mDecider.decide(List.of(), START.plusMillis(6_000), due -> false)).isEmpty();
        assertThat(mDecider.decide(List.of(), START.plusMillis(7_100), due -> false))
                .containsExactly(new UsageDecision(200, Map.of("clinic", 1L), false));
    }

    @Test
    void decidedWindowIsUnchanged() {
        final List<UsageDecision> decided =
                List.of(new UsageDecision(200, Map.of("clinic", 1L), false));
        mLedger.recordStart(200, "clinic");
        mLedger.recordStart(200, "clinic");
        final List<UsageDecision> all =
                mDecider.decide(decided, START.plusSeconds(13), due -> false);
        assertThat(all).startsWith(decided.get(0)).hasSize(2);
    }

    // Guards against a window reported twice with different counts after an older copy.
    @Test
    void windowThatMayHaveBeenDecidedBeforeIsLeftOut() {
        final Instant returned = START.plusSeconds(9);
        assertThat(mDecider.decide(List.of(), START.plusSeconds(13), due -> due.isBefore(returned)))
                .extracting(UsageDecision::window)
                .containsExactly(201L);
    }

    @Test
    void knownDecisionIsKeptThoughOthersMayBeUnknown() {
        final UsageDecision known = new UsageDecision(200, Map.of("clinic", 1L), false);
        assertThat(mDecider.decide(List.of(known), START.plusSeconds(8), due -> true))
                .containsExactly(known);
    }
}
