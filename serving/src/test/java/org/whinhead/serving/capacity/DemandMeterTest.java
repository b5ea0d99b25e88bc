package org.whinhead.serving.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class DemandMeterTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final DemandMeter mMeter = new DemandMeter();

    private void run(final int fromSecond, final int toSecond, final long tokensPerSecond) {
        for (int second = fromSecond; second <= toSecond; second++) {
            mTokens += tokensPerSecond;
            mMeter.addTotal(mTokens, 0, START.plusSeconds(second));
        }
    }

    private long mTokens;

    @Test
    void nothingIsKnownWithoutTraffic() {
        run(0, 10, 0);
        assertThat(mMeter.tokensPerSecond()).isEmpty();
    }

    // Most endpoints are ordered away in the first second of a day. The first span had held half a
    // second of traffic only, and passed for a demand that one endpoint can serve.
    @Test
    void firstMomentsOfTrafficAreNotJudged() {
        run(0, 10, 0);
        mTokens += 8_000;
        mMeter.addTotal(mTokens, 0, START.plusMillis(10_400));
        run(11, 14, 80_000);
        assertThat(mMeter.tokensPerSecond()).isEmpty();
        run(15, 25, 80_000);
        assertThat(mMeter.tokensPerSecond().orElseThrow())
                .isCloseTo(80_000, Percentage.withPercentage(5));
    }

    @Test
    void rateIsMeasured() {
        run(0, 15, 50_000);
        assertThat(mMeter.tokensPerSecond().orElseThrow())
                .isCloseTo(50_000, Percentage.withPercentage(5));
    }

    // Endpoints are ordered away as a wave ebbs, and are missing twenty seconds later.
    @Test
    void peakIsForgottenSlowly() {
        run(0, 14, 100_000);
        run(15, 29, 40_000);
        assertThat(mMeter.tokensPerSecond().orElseThrow()).isBetween(50_000.0, 75_000.0);
        run(30, 120, 40_000);
        assertThat(mMeter.tokensPerSecond().orElseThrow())
                .isCloseTo(40_000, Percentage.withPercentage(5));
    }

    // Half of the callers of a large service fail for its first sixteen seconds. Its list had held
    // a third of the endpoints that the traffic needs; the demand was known after eight and a half
    // seconds only, and others take four to start. Grounds: 100 requests move a rate by a tenth, a
    // span of half a second holds 200 of them at 400 requests a second.
    @Test
    void demandOfManyRequestsIsSeenWithinTwoSeconds() {
        final double requestTokens = 4_000;
        for (int tenth = 0; tenth <= 20; tenth++) {
            mTokens += 160_000;
            mMeter.addTotal(mTokens, requestTokens, START.plusMillis(tenth * 100L));
        }
        assertThat(mMeter.tokensPerSecond()).isEmpty();
        assertThat(mMeter.minimumTokensPerSecond())
                .isCloseTo(1_600_000, Percentage.withPercentage(10));
    }

    // A small service orders for twice its demand, since two large requests came within a second.
    @Test
    void fewRequestsAreNotJudgedEarly() {
        for (int tenth = 0; tenth <= 20; tenth++) {
            mTokens += 10_000;
            mMeter.addTotal(mTokens, 5_000, START.plusMillis(tenth * 100L));
        }
        assertThat(mMeter.minimumTokensPerSecond()).isZero();
    }

    // Six daemons of eighteen were cut off for twelve seconds, and what they had spent comes within
    // one report. Such a lump is no demand: once traffic has settled, spans are long again.
    @Test
    void lumpOfLateReportsIsSpreadOverTheLongSpan() {
        run(0, 15, 100_000);
        mTokens += 400_000;
        mMeter.addTotal(mTokens, 1_000, START.plusMillis(15_500));
        assertThat(mMeter.minimumTokensPerSecond()).isLessThan(110_000);
    }
}
