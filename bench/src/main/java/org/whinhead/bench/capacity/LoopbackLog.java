package org.whinhead.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.LogRecordCodec;
import org.whinhead.state.record.RecordFormatException;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.WriteBackoff;
import org.whinhead.state.writer.WriterLimits;

/** A log whose appends succeed immediately; each record is encoded and decoded once. */
final class LoopbackLog {

    private static final WriterLimits LIMITS = new WriterLimits(4096, 64);

    private final LogRecordCodec mCodec = new LogRecordCodec();
    private final LogWriter mWriter =
            new LogWriter(
                    new DaemonId("entry-17-1785000000000"),
                    LIMITS,
                    new WriteBackoff(
                            Duration.ofMillis(10), Duration.ofSeconds(1), new SplittableRandom(1)));
    private long mOffset;
    private long mBytes;

    LogWriter writer() {
        return mWriter;
    }

    /** Returns the encoded size of all records in bytes, before the log client's Base64. */
    long bytes() {
        return mBytes;
    }

    /** Appends all waiting records and returns them as decoded log entries. */
    List<LogEntry> flush(final Instant now) {
        final List<LogEntry> entries = new ArrayList<>();
        Optional<List<LogRecord>> batch = mWriter.nextBatch(now);
        while (batch.isPresent()) {
            for (final LogRecord record : batch.get()) {
                final byte[] bytes = mCodec.encode(record);
                mBytes += bytes.length;
                entries.add(new LogEntry(mOffset++, now, decode(bytes)));
            }
            mWriter.onAppended();
            batch = mWriter.nextBatch(now);
        }
        return entries;
    }

    private LogRecord decode(final byte[] bytes) {
        try {
            return mCodec.decode(bytes);
        } catch (final RecordFormatException e) {
            throw new IllegalStateException("cannot decode a record that was just encoded", e);
        }
    }
}
