package org.whinhead.state.writer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;

class LogWriterTest {

    private static final Instant START = Instant.EPOCH;
    private static final Duration STEP = Duration.ofMillis(100);

    private final LogWriter mWriter =
            new LogWriter(
                    new DaemonId("w"),
                    new WriterLimits(2, 10),
                    new Backoff(STEP, STEP.multipliedBy(8), new SplittableRandom(1)));

    // The log is out for long and records keep coming. The writer must refuse at once when its
    // queue
    // is full, rather than fill the memory, and must wait as long as the log asked.
    @Test
    void fullQueueRefusesAndRetryAfterIsKept() {
        offer(1);
        final List<LogRecord> batch = mWriter.next(START).orElseThrow();
        assertThat(mWriter.next(START)).isEmpty();
        offer(2);
        offer(3);
        assertThat(mWriter.offer(id -> new LogRecord.RulesActivated(id, 9), START)).isEmpty();
        mWriter.refused(Duration.ofSeconds(5), START);
        assertThat(mWriter.next(START.plusSeconds(4))).isEmpty();
        assertThat(mWriter.next(START.plusSeconds(5))).contains(batch);
        mWriter.appended();
        assertThat(mWriter.next(START.plusSeconds(5)).orElseThrow()).hasSize(2);
    }

    // The answer to an append is lost. A read that was under way before the loss says nothing about
    // it; only one that began later and reached the head may lead to a second copy.
    @Test
    void lostAppendIsSentAgainOnlyAfterLaterReadReachedTheHead() {
        offer(1);
        final List<LogRecord> batch = mWriter.next(START).orElseThrow();
        mWriter.unknown(START.plusSeconds(1));
        mWriter.readToHead(START);
        assertThat(mWriter.next(START.plusSeconds(9))).isEmpty();
        mWriter.readToHead(START.plusSeconds(2));
        assertThat(mWriter.next(START.plusSeconds(9))).contains(batch);
        mWriter.unknown(START.plusSeconds(10));
        mWriter.observed(new RecordId(new DaemonId("other"), 1));
        assertThat(mWriter.pending()).isEqualTo(1);
        mWriter.observed(new RecordId(new DaemonId("w"), 1));
        assertThat(mWriter.pending()).isZero();
        assertThat(mWriter.idle()).isTrue();
    }

    private void offer(final int rules) {
        assertThat(mWriter.offer(id -> new LogRecord.RulesActivated(id, rules), START)).isPresent();
    }
}
