package org.whinhead.serving.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

    private final PrefillRate mSpeed = new PrefillRate();
    private final Random mRandom = new Random(7);

    /** Plays requests of mixed length, whose waiting adds up to twice the time of reading. */
    private void serve(final double tokensPerMillisecond, final double mostWait, final int count) {
        for (int request = 0; request < count; request++) {
            final int tokens = 2_000 + mRandom.nextInt(8_000);
            final double reading = tokens / tokensPerMillisecond;
            final double waiting = reading * mostWait * mRandom.nextDouble();
            mSpeed.addSample(tokens, Duration.ofMillis(Math.round(reading + waiting)));
        }
    }

    @Test
    void speedOfFastEnginesIsLearned() {
        serve(60, 0.5, 400);
        assertThat(mSpeed.tokensPerMillisecond()).isCloseTo(57, within(5.0));
    }

    @Test
    void speedOfSlowEnginesIsLearned() {
        serve(24, 0.5, 400);
        assertThat(mSpeed.tokensPerMillisecond()).isCloseTo(23, within(3.0));
    }

    // A third of the callers of a fleet without reclaimable endpoints wait too long to the day's
    // end: three endpoints stand for five by the sheet, and nothing shows that they don't suffice.
    @Test
    void waitingShowsAsLowerSpeed() {
        serve(38.4, 0.5, 400);
        final double calm = mSpeed.tokensPerMillisecond();
        serve(38.4, 6, 400);
        assertThat(mSpeed.tokensPerMillisecond()).isLessThan(0.75 * calm);
    }

    @Test
    void shortPromptsTellNothing() {
        mSpeed.addSample(600, Duration.ofMillis(400));
        assertThat(mSpeed.tokensPerMillisecond()).isEqualTo(PrefillRate.INITIAL_TOKENS_PER_MILLI);
    }

    @Test
    void wrongSamplesStayWithinBounds() {
        for (int sample = 0; sample < 1_000; sample++) {
            mSpeed.addSample(50_000, Duration.ZERO);
        }
        assertThat(mSpeed.tokensPerMillisecond())
                .isEqualTo(4 * PrefillRate.INITIAL_TOKENS_PER_MILLI);
        for (int sample = 0; sample < 5_000; sample++) {
            mSpeed.addSample(2_000, Duration.ofSeconds(9));
        }
        assertThat(mSpeed.tokensPerMillisecond())
                .isEqualTo(PrefillRate.INITIAL_TOKENS_PER_MILLI / 2);
    }
}
