package org.whinhead.serving.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

class UsagePlanTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);

    private final UsageLedger mLedger = new UsageLedger("self");
    private final UsagePlan mPlan =
            new UsagePlan(new UsageWindows(Duration.ofSeconds(5)), mLedger, START);

    @Test
    void windowIsDecidedOnceItsCountsHaveArrived() {
        mLedger.began(200, "clinic");
        assertThat(mPlan.decide(List.of(), START.plusMillis(6_000))).isEmpty();
        assertThat(mPlan.decide(List.of(), START.plusMillis(7_100)))
                .containsExactly(new UsageDecision(200, Map.of("clinic", 1L), false));
    }

    @Test
    void decidedWindowStaysAsItWasDecided() {
        final List<UsageDecision> decided =
                List.of(new UsageDecision(200, Map.of("clinic", 1L), false));
        mLedger.began(200, "clinic");
        mLedger.began(200, "clinic");
        final List<UsageDecision> all = mPlan.decide(decided, START.plusSeconds(13));
        assertThat(all).startsWith(decided.get(0)).hasSize(2);
    }
}
