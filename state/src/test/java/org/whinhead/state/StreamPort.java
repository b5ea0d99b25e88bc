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
import org.whinhead.state.writer.Backoff;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.ReadRequest;
import org.whinhead.state.writer.WriterLimits;

/** One daemon's writer and reader, wired to a {@link FakeLog} stream as the daemon would. */
public final class StreamPort {

    /** What becomes of one append. */
    public enum Fate {
        DONE,
        REFUSED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_DELAYED
    }

    private final FakeLog mLog;
    private final LogWriter mWriter;
    private final LogReader mReader;

    public StreamPort(final FakeLog log, final DaemonId self) {
        final SplittableRandom random = new SplittableRandom(self.hashCode());
        final Duration first = Duration.ofMillis(10);
        mLog = log;
        mWriter =
                new LogWriter(
                        self,
                        new WriterLimits(8, 3),
                        new Backoff(first, Duration.ofMillis(80), random));
        mReader = new LogReader(4, Duration.ZERO, new Backoff(first, first, random));
    }

    public LogWriter writer() {
        return mWriter;
    }

    public LogReader reader() {
        return mReader;
    }

    public void write(final Fate fate, final Instant now) {
        final Optional<List<LogRecord>> batch = mWriter.next(now);
        if (batch.isEmpty()) {
            return;
        }
        final Fate real = mLog.down() ? Fate.REFUSED : fate;
        if (real == Fate.DONE || real == Fate.LOST_AFTER_EFFECT) {
            mLog.append(batch.get());
        }
        if (real == Fate.LOST_AND_DELAYED) {
            mLog.delay(batch.get());
        }
        switch (real) {
            case DONE -> mWriter.appended();
            case REFUSED -> mWriter.refused(Duration.ZERO, now);
            default -> mWriter.unknown(now);
        }
    }

    /** Reads once; false if the position has expired. */
    public boolean read(final Instant now, final Consumer<LogEntry> consumer) {
        final Optional<ReadRequest> request = mReader.next(now);
        if (request.isEmpty()) {
            return !mReader.needsCheckpoint();
        }
        if (mLog.down()) {
            mReader.failed(Duration.ZERO, now);
            return true;
        }
        if (request.get().from() < mLog.oldest()) {
            mReader.expired(mLog.oldest());
            return false;
        }
        final List<LogEntry> entries = mLog.read(request.get().from(), request.get().max());
        for (final LogEntry entry : entries) {
            mWriter.observed(entry.record().id());
            consumer.accept(entry);
        }
        if (mReader.answered(request.get(), entries.size())) {
            mWriter.readToHead(request.get().sentAt());
        }
        return true;
    }
}
