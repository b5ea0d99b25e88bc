package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestScheduleTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final RequestSchedule mSchedule = new RequestSchedule(START);

    private static Instant at(final long millis) {
        return START.plusMillis(millis);
    }

    private Optional<Instant> reserve(final long waitMillis, final long now) {
        return mSchedule.reserve(SECOND, Duration.ofMillis(waitMillis), at(now));
    }

    // Guards against a new owner that grants at once what the one before it has granted already.
    @Test
    void newScheduleBeginsWithOneInterval() {
        assertThat(reserve(0, 999)).isEmpty();
        assertThat(reserve(0, 1_000)).contains(at(1_000));
    }

    @Test
    void timesAreOneIntervalApart() {
        assertThat(reserve(0, 1_500)).contains(at(1_500));
        assertThat(reserve(0, 2_499)).isEmpty();
        assertThat(reserve(0, 2_500)).contains(at(2_500));
    }

    // Guards against a burst after a time without requests.
    @Test
    void unusedTimesAreNotKept() {
        assertThat(reserve(0, 9_000)).contains(at(9_000));
        assertThat(reserve(0, 9_000)).isEmpty();
    }

    @Test
    void timeIsReservedWithinLongestWait() {
        assertThat(reserve(199, 800)).isEmpty();
        assertThat(reserve(200, 800)).contains(at(1_000));
        assertThat(mSchedule.nextFree(SECOND)).isEqualTo(at(2_000));
    }

    @Test
    void shorterIntervalAppliesAtOnce() {
        reserve(0, 1_000);
        final Duration shorter = Duration.ofMillis(100);
        assertThat(mSchedule.reserve(shorter, Duration.ZERO, at(1_100))).contains(at(1_100));
    }

    @Test
    void lastReservedTimeThatIsNotUsedIsFree() {
        final Instant reserved = reserve(200, 800).orElseThrow();
        mSchedule.release(reserved);
        assertThat(reserve(200, 800)).contains(reserved);
    }

    // Guards against two requests at the time of one: the next time may have been used already.
    @Test
    void earlierTimeIsNotFreedAgain() {
        final Instant first = reserve(0, 1_000).orElseThrow();
        reserve(0, 2_000);
        mSchedule.release(first);
        assertThat(reserve(0, 2_999)).isEmpty();
    }
}
