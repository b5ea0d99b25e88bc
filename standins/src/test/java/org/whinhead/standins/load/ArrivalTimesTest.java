package org.whinhead.standins.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Order and mean rate of the arrivals of the open loop. */
final class ArrivalTimesTest {

    private static final int PER_SECOND = 100;
    private static final int SECONDS = 100;

    @Test
    void arrivalsAreOrderedAndMatchMeanRate() {
        final ArrivalTimes times = new ArrivalTimes(PER_SECOND, 1);
        long last = 0;
        for (int arrival = 0; arrival < PER_SECOND * SECONDS; arrival++) {
            final long next = times.next();
            assertThat(next).isGreaterThanOrEqualTo(last);
            last = next;
        }
        assertThat((double) last).isCloseTo(TimeUnit.SECONDS.toNanos(SECONDS), withinPercentage(5));
    }
}
