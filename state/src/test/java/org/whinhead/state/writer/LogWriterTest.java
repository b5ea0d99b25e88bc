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
                    new WriteBackoff(STEP, STEP.multipliedBy(8), new SplittableRandom(1)));

    // Guards against unbounded memory and early retries during a long log outage. The writer must
    // reject records at once when its queue is full and must wait for the delay that the log
    // requested.
    @Test
    void fullQueueRejectsRecordsAndRetryAfterIsHonored() {
        offer(1);
        final List<LogRecord> batch = mWriter.nextBatch(START).orElseThrow();
        assertThat(mWriter.nextBatch(START)).isEmpty();
        offer(2);
        offer(3);
        assertThat(mWriter.offer(id -> new LogRecord.RulesActivated(id, 9), START)).isEmpty();
        mWriter.onRefused(Duration.ofSeconds(5), START);
        assertThat(mWriter.nextBatch(START.plusSeconds(4))).isEmpty();
        assertThat(mWriter.nextBatch(START.plusSeconds(5))).contains(batch);
        mWriter.onAppended();
        assertThat(mWriter.nextBatch(START.plusSeconds(5)).orElseThrow()).hasSize(2);
    }

    // Guards against needless second copies after the response to an append is lost. A read that
    // began before the loss proves nothing; only a later read that reached the head permits a
    // second append.
    @Test
    void lostAppendIsResentOnlyAfterLaterReadReachesHead() {
        offer(1);
        final List<LogRecord> batch = mWriter.nextBatch(START).orElseThrow();
        mWriter.onOutcomeUnknown(START.plusSeconds(1));
        mWriter.onHeadReached(START);
        assertThat(mWriter.nextBatch(START.plusSeconds(9))).isEmpty();
        mWriter.onHeadReached(START.plusSeconds(2));
        assertThat(mWriter.nextBatch(START.plusSeconds(9))).contains(batch);
        mWriter.onOutcomeUnknown(START.plusSeconds(10));
        mWriter.onRecordRead(new RecordId(new DaemonId("other"), 1));
        assertThat(mWriter.pendingCount()).isEqualTo(1);
        mWriter.onRecordRead(new RecordId(new DaemonId("w"), 1));
        assertThat(mWriter.pendingCount()).isZero();
        assertThat(mWriter.isIdle()).isTrue();
    }

    private void offer(final int rules) {
        assertThat(mWriter.offer(id -> new LogRecord.RulesActivated(id, rules), START)).isPresent();
    }
}
