package org.whinhead.serving.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

    private final PrefillRate mRate = new PrefillRate();
    private final Random mRandom = new Random(7);

    /** Simulates requests that wait for up to the given multiple of their prefill time. */
    private void serve(
            final double tokensPerMillisecond, final double maxWaitFactor, final int count) {
        for (int request = 0; request < count; request++) {
            final int tokens = 2_000 + mRandom.nextInt(8_000);
            final double prefillMillis = tokens / tokensPerMillisecond;
            final double waitingMillis = prefillMillis * maxWaitFactor * mRandom.nextDouble();
            mRate.addSample(tokens, Duration.ofMillis(Math.round(prefillMillis + waitingMillis)));
        }
    }

    @Test
    void rateOfFastEnginesIsMeasured() {
        serve(60, 0.5, 400);
        assertThat(mRate.tokensPerMillisecond()).isCloseTo(57, within(5.0));
    }

    @Test
    void rateOfSlowEnginesIsMeasured() {
        serve(24, 0.5, 400);
        assertThat(mRate.tokensPerMillisecond()).isCloseTo(23, within(3.0));
    }

    // Guards against too few endpoints in a fleet without reclaimable ones, where a third of the
    // callers waited too long until the day's end: three endpoints were counted as five by the data
    // sheet's rate, and nothing showed that they don't suffice.
    @Test
    void waitingLowersTheRate() {
        serve(38.4, 0.5, 400);
        final double calm = mRate.tokensPerMillisecond();
        serve(38.4, 6, 400);
        assertThat(mRate.tokensPerMillisecond()).isLessThan(0.75 * calm);
    }

    @Test
    void shortPromptsAreIgnored() {
        mRate.addSample(600, Duration.ofMillis(400));
        assertThat(mRate.tokensPerMillisecond()).isEqualTo(PrefillRate.INITIAL_TOKENS_PER_MILLI);
    }

    @Test
    void wrongSamplesStayWithinBounds() {
        for (int sample = 0; sample < 1_000; sample++) {
            mRate.addSample(50_000, Duration.ZERO);
        }
        assertThat(mRate.tokensPerMillisecond())
                .isEqualTo(4 * PrefillRate.INITIAL_TOKENS_PER_MILLI);
        for (int sample = 0; sample < 5_000; sample++) {
            mRate.addSample(2_000, Duration.ofSeconds(9));
        }
        assertThat(mRate.tokensPerMillisecond())
                .isEqualTo(PrefillRate.INITIAL_TOKENS_PER_MILLI / 2);
    }
}
