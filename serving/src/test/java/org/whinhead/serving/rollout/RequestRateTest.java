package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RequestRateTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final int DAEMONS = 10;

    private final RequestRate mRate = new RequestRate();

    /** Each daemon reports five times a second, and gets ten requests a second. */
    private void report(final long fromMillis, final long untilMillis, final int daemons) {
        for (long millis = fromMillis; millis <= untilMillis; millis += 200) {
            for (int daemon = 0; daemon < daemons; daemon++) {
                mRate.addReport("daemon-" + daemon, millis / 100, START.plusMillis(millis));
            }
        }
    }

    @Test
    void ratesOfDaemonsAddUp() {
        report(0, 2_000, DAEMONS);

        assertThat(mRate.perSecond(START.plusMillis(2_000))).isCloseTo(100, within(1e-6));
    }

    /** A new holder took all requests since the order for those of its first second. */
    @Test
    void countsFromBeforeTheFirstReportAreNoRate() {
        report(10_000, 10_600, DAEMONS);

        assertThat(mRate.perSecond(START.plusMillis(10_600))).isCloseTo(100, within(1e-6));
    }

    /** Daemons that come back from a cut brought all requests of the cut at once. */
    @Test
    void countsFromDuringCutAreNoRate() {
        report(0, 2_000, DAEMONS);
        report(2_200, 8_000, DAEMONS / 2);
        report(8_200, 8_800, DAEMONS);

        assertThat(mRate.perSecond(START.plusMillis(8_800))).isCloseTo(100, within(1e-6));
    }

    @Test
    void nothingIsKnownOfOneReport() {
        report(0, 0, DAEMONS);

        assertThat(mRate.perSecond(START)).isZero();
    }

    @Test
    void ageIsThatOfLastReports() {
        report(0, 1_000, DAEMONS);

        assertThat(mRate.meanReportAge(START.plusMillis(1_150))).isEqualTo(Duration.ofMillis(150));
    }
}
