package org.whinhead.serving.speed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EndpointSpeedsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration EXPECTED = Duration.ofMillis(100);

    private final EndpointSpeeds mSpeeds = new EndpointSpeeds();
    private Instant mNow = START;

    private static SpeedSample sample(final String endpoint, final double slowness) {
        return SpeedSample.builder("pool", endpoint)
                .kind(SpeedKind.BETWEEN_TOKENS)
                .times(EXPECTED, Duration.ofMillis(Math.round(100 * slowness)))
                .running(8)
                .build();
    }

    /** Records samples of four endpoints, of which e0 has a slowness of its own. */
    private void serve(final int rounds, final double first, final double others) {
        for (int round = 0; round < rounds; round++) {
            pass(100);
            mSpeeds.record(sample("e0", first), mNow);
            for (int index = 1; index < 4; index++) {
                mSpeeds.record(sample("e" + index, others), mNow);
            }
        }
    }

    private void pass(final long millis) {
        mNow = mNow.plusMillis(millis);
    }

    private double slowness(final String endpoint) {
        return mSpeeds.slowness("pool", endpoint, mNow);
    }

    private static SpeedReport report(final double weight, final double slowness) {
        return new SpeedReport(
                "pool", "e0", weight, Math.log(slowness), 8, Duration.ZERO, Optional.empty());
    }

    @Test
    void unknownEndpointIsTypical() {
        assertThat(slowness("e0")).isEqualTo(1);
    }

    @Test
    void slownessIsRelativeToTheTypicalEndpoint() {
        serve(50, 6, 3);
        assertThat(slowness("e0")).isCloseTo(2, within(0.2));
        assertThat(slowness("e1")).isCloseTo(1, within(0.1));
    }

    // Guards against endpoints that are avoided in turn under load: all of them become slow
    // together, which is no fault of any.
    @Test
    void endpointsThatSlowDownTogetherStayTypical() {
        serve(50, 1, 1);
        serve(20, 4, 4);
        assertThat(slowness("e0")).isCloseTo(1, within(0.05));
        assertThat(slowness("e1")).isCloseTo(1, within(0.05));
    }

    // Guards against an endpoint that is avoided for good after a slow second, as nobody sends it
    // requests that would show that it is well again.
    @Test
    void estimateWithoutSamplesReturnsToTypical() {
        serve(50, 4, 1);
        final double before = Math.log(slowness("e0"));
        pass(3_300);
        assertThat(Math.log(slowness("e0"))).isLessThan(before * 0.55);
        pass(30_000);
        assertThat(slowness("e0")).isCloseTo(1, within(0.01));
    }

    // Guards against state of the earlier start of an endpoint.
    @Test
    void restartedEndpointIsTypical() {
        serve(50, 4, 1);
        mSpeeds.forget("e0");
        assertThat(slowness("e0")).isEqualTo(1);
        serve(50, 4, 1);
        mSpeeds.retain(Set.of("e1"));
        assertThat(slowness("e0")).isEqualTo(1);
    }

    // Guards against a daemon whose clock is wrong: whatever it reports, it changes an estimate
    // little at a time.
    @Test
    void changeByOneReportIsBounded() {
        mSpeeds.applyReport("liar", report(1_000, 50), Duration.ZERO, mNow);
        assertThat(slowness("e0")).isCloseTo(1.5, within(0.01));
        pass(100);
        mSpeeds.applyReport("liar", report(1_000, 0.01), Duration.ZERO, mNow);
        assertThat(slowness("e0")).isCloseTo(1, within(0.05));
    }

    @Test
    void oldReportIsIgnored() {
        mSpeeds.applyReport("peer", report(5, 2), Duration.ofSeconds(11), mNow);
        assertThat(slowness("e0")).isEqualTo(1);
    }

    // Guards against a frozen daemon that takes its own pause for that of endpoints: tokens that
    // arrived meanwhile are read late, before or after its timers run again.
    @Test
    void stepsWhileFrozenAreNoSamples() {
        mSpeeds.takeReports(mNow);
        serve(3, 1, 1);
        pass(2_000);
        mSpeeds.record(sample("e0", 20), mNow);
        mSpeeds.takeReports(mNow);
        pass(10);
        mSpeeds.record(sample("e1", 20), mNow);
        assertThat(mSpeeds.sampleCount()).isEqualTo(12);
    }

    @Test
    void reportsOfManyEndpointsTakeTurns() {
        for (int index = 0; index < 30; index++) {
            mSpeeds.record(sample("e" + index, 1), mNow);
        }
        final Set<String> reported = new HashSet<>();
        for (int report = 0; report < 3; report++) {
            final List<SpeedReport> reports = mSpeeds.takeReports(mNow);
            assertThat(reports).hasSizeLessThanOrEqualTo(EndpointSpeeds.MAX_REPORTED);
            reports.forEach(speed -> reported.add(speed.endpoint()));
        }
        assertThat(reported).hasSize(30);
    }

    // Guards against a daemon that knows nothing of endpoints which only others use.
    @Test
    void reportsOfOthersAreLearnt() {
        serve(50, 2, 1);
        final EndpointSpeeds other = new EndpointSpeeds();
        for (int round = 0; round < 5; round++) {
            mSpeeds.takeReports(mNow)
                    .forEach(report -> other.applyReport("peer", report, report.age(), mNow));
        }
        assertThat(other.slowness("pool", "e0", mNow)).isCloseTo(2, within(0.2));
    }

    // Guards against capacity that is planned with slow endpoints as whole ones.
    @Test
    void endpointThatIsTwiceAsSlowCountsHalf() {
        serve(50, 2, 1);
        assertThat(mSpeeds.meanSpeed("pool", List.of("e0", "e1"), mNow))
                .isCloseTo(0.75, within(0.05));
        assertThat(mSpeeds.slowEndpoints(mNow)).containsOnlyKeys("e0");
    }
}
