package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ResumableTimesTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration LONG = Duration.ofSeconds(40);

    private final ResumableTimes mTimes = new ResumableTimes();

    @Test
    void longestStatedTimeOfTheRouteCounts() {
        mTimes.record("draft", LONG, START);
        mTimes.record("draft", Duration.ofSeconds(3), START.plusSeconds(1));
        assertThat(mTimes.longest("draft", START.plusSeconds(2))).isEqualTo(LONG);
        assertThat(mTimes.longest("post", START.plusSeconds(2))).isZero();
    }

    // Guards against a time that is forgotten while a stream of its caller may still be resumed.
    @Test
    void statedTimeCountsWhileStreamsMayBeResumed() {
        mTimes.record("draft", Duration.ofSeconds(2), START);
        mTimes.record("draft", LONG, START.plusSeconds(299));
        mTimes.record("draft", Duration.ofSeconds(2), START.plusSeconds(301));
        assertThat(mTimes.longest("draft", START.plusSeconds(598))).isEqualTo(LONG);
        assertThat(mTimes.longest("draft", START.plusSeconds(900))).isLessThan(LONG);
    }

    @Test
    void endlessTimeIsLimited() {
        mTimes.record("draft", Duration.ofDays(400), START);
        assertThat(mTimes.longest("draft", START)).isEqualTo(ResumableTimes.LONGEST);
    }
}
