package org.whinhead.state;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.ReadRequest;
import org.whinhead.state.writer.WriteBackoff;
import org.whinhead.state.writer.WriterLimits;

/** One daemon's writer and reader, connected to a {@link FakeLog} stream. */
public final class StreamClient {

    /** The outcome of an append. */
    public enum AppendOutcome {
        DONE,
        REFUSED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_DELAYED
    }

    private final FakeLog mLog;
    private final LogWriter mWriter;
    private final LogReader mReader;

    public StreamClient(final FakeLog log, final DaemonId self) {
        final SplittableRandom random = new SplittableRandom(self.hashCode());
        final Duration first = Duration.ofMillis(10);
        mLog = log;
        mWriter =
                new LogWriter(
                        self,
                        new WriterLimits(8, 3),
                        new WriteBackoff(first, Duration.ofMillis(80), random));
        mReader = new LogReader(4, Duration.ZERO, new WriteBackoff(first, first, random));
    }

    public LogWriter writer() {
        return mWriter;
    }

    public LogReader reader() {
        return mReader;
    }

    public void write(final AppendOutcome outcome, final Instant now) {
        final Optional<List<LogRecord>> batch = mWriter.nextBatch(now);
        if (batch.isEmpty()) {
            return;
        }
        final AppendOutcome effective = mLog.isDown() ? AppendOutcome.REFUSED : outcome;
        if (effective == AppendOutcome.DONE || effective == AppendOutcome.LOST_AFTER_EFFECT) {
            mLog.append(batch.get());
        }
        if (effective == AppendOutcome.LOST_AND_DELAYED) {
            mLog.delay(batch.get());
        }
        switch (effective) {
            case DONE -> mWriter.onAppended();
            case REFUSED -> mWriter.onRefused(Duration.ZERO, now);
            default -> mWriter.onOutcomeUnknown(now);
        }
    }

    /** Reads once. Returns false if the records at the next offset have expired. */
    public boolean read(final Instant now, final Consumer<LogEntry> consumer) {
        final Optional<ReadRequest> request = mReader.nextRead(now);
        if (request.isEmpty()) {
            return !mReader.needsCheckpoint();
        }
        if (mLog.isDown()) {
            mReader.onFailure(Duration.ZERO, now);
            return true;
        }
        if (request.get().fromOffset() < mLog.oldest()) {
            mReader.onExpired(mLog.oldest());
            return false;
        }
        final List<LogEntry> entries =
                mLog.read(request.get().fromOffset(), request.get().maxRecords());
        for (final LogEntry entry : entries) {
            mWriter.onRecordRead(entry.record().id());
            consumer.accept(entry);
        }
        if (mReader.onRecords(request.get(), entries.size())) {
            mWriter.onHeadReached(request.get().sentAt());
        }
        return true;
    }
}
