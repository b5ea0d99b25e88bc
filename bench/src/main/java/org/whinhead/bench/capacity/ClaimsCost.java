package org.whinhead.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.claim.ClaimCoordinator;
import org.whinhead.state.claim.ClaimKey;
import org.whinhead.state.claim.ClaimLimits;
import org.whinhead.state.claim.ClaimTable;
import org.whinhead.state.record.ClaimEntry;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.LogRecordCodec;
import org.whinhead.state.record.RecordFormatException;
import org.whinhead.state.record.RecordId;

/** Measures the cost of a claim for the daemon that writes it, for readers, and in the table. */
public final class ClaimsCost extends RoleCost {

    private static final int[] BATCH_SIZES = {1, 8, 32, 128, 512};
    private static final int[] TABLE_KEYS = {10_000, 50_000, 100_000, 200_000};
    private static final Duration WINDOW = Duration.ofMinutes(10);
    private static final Duration LINGER = Duration.ofMillis(20);
    private static final Duration GRANT_DURATION = Duration.ofMinutes(1);
    private static final int MAX_KEYS = 10_000_000;
    private static final int INCARNATIONS = 1_000;
    private static final int RECORDS_PER_RUN = 64;

    private long mNextNumber;

    @Override
    public String name() {
        return "capacity-claims";
    }

    @Override
    public String description() {
        return "CPU, bytes and memory of claims by batch";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series written =
                new Series("written and read back", "claims a record", "ns a record");
        final Series read = new Series("decoded and applied", "claims a record", "ns a record");
        final Series bytes = new Series("record", "claims a record", "bytes");
        for (final int batch : BATCH_SIZES) {
            final Writer writer = new Writer(batch);
            written.add(batch, meter.measureCpuNanos(writer::writeRecord));
            bytes.add(batch, Spread.exact(encoded(batch, 1_000).length));
            final Reader reader = new Reader(batch);
            read.add(batch, meter.measureCpuNanos(reader::readRecords));
        }
        out.print(written, read, bytes);
        final Series memory = new Series("table", "keys", "bytes");
        for (final int keys : TABLE_KEYS) {
            memory.add(keys, meter.measureRetainedBytes(() -> table(keys)));
        }
        out.print(memory);
    }

    private ClaimEntry entry() {
        final long number = mNextNumber++;
        final ClaimKey key = ClaimKey.of(new CustomerId("customer"), "key-" + number);
        final long attempt = ClaimKey.attemptHash(new DaemonId("entry-17"), number);
        return new ClaimEntry(ClaimEntry.Action.CLAIM, key.high(), key.low(), attempt);
    }

    private LogRecord.ClaimBatch record(final int batch, final long sequence) {
        final List<ClaimEntry> entries = new ArrayList<>();
        for (int i = 0; i < batch; i++) {
            entries.add(entry());
        }
        return new LogRecord.ClaimBatch(
                new RecordId(new DaemonId("entry-17-1785000000000"), sequence), entries);
    }

    private byte[] encoded(final int batch, final long sequence) {
        return new LogRecordCodec().encode(record(batch, sequence));
    }

    private ClaimTable table(final int keys) {
        final ClaimTable table = new ClaimTable(WINDOW, INCARNATIONS);
        final int batch = 100;
        for (int i = 0; i < keys / batch; i++) {
            final Instant at = Fixtures.START.plus(WINDOW.multipliedBy(i).dividedBy(keys / batch));
            table.apply(new LogEntry(i, at, record(batch, i + 1)), (key, attempt, holder) -> {});
        }
        return table;
    }

    /** Accepts claims and writes them to the log; its clock advances by 1 s per record. */
    private final class Writer {
        private final int mBatch;
        private final LoopbackLog mLog = new LoopbackLog();
        private final ClaimTable mTable = new ClaimTable(WINDOW, INCARNATIONS);
        private final ClaimCoordinator mCoordinator;
        private Instant mNow = Fixtures.START;
        private long mDecided;

        Writer(final int batch) {
            mBatch = batch;
            mCoordinator =
                    new ClaimCoordinator(
                            mTable,
                            mLog.writer(),
                            new ClaimLimits(GRANT_DURATION, LINGER, batch, MAX_KEYS, MAX_KEYS),
                            (key, attempt, result, dispatchBy) -> mDecided++);
        }

        /** Writes one record, applies it, and returns the number of records, 1. */
        long writeRecord() {
            mNow = mNow.plusSeconds(1);
            for (int i = 0; i < mBatch; i++) {
                final ClaimEntry entry = entry();
                final ClaimKey key = new ClaimKey(entry.keyHigh(), entry.keyLow());
                mCoordinator.claim(key, entry.attempt(), mNow.plusSeconds(2), mNow);
            }
            mCoordinator.tick(mNow);
            mLog.flush(mNow).forEach(entry -> mCoordinator.apply(entry, mNow));
            return 1;
        }
    }

    /** Decodes claim records and applies them to a table. */
    private final class Reader {
        private final LogRecordCodec mCodec = new LogRecordCodec();
        private final ClaimTable mTable = new ClaimTable(WINDOW, INCARNATIONS);
        private final List<byte[]> mRecords = new ArrayList<>();
        private long mOffset;

        Reader(final int batch) {
            for (int i = 0; i < RECORDS_PER_RUN; i++) {
                mRecords.add(encoded(batch, i + 1));
            }
        }

        /** Applies all records to an empty table and returns their number. */
        long readRecords() {
            mTable.reset();
            for (final byte[] bytes : mRecords) {
                mTable.apply(
                        new LogEntry(mOffset++, Fixtures.START, decode(bytes)),
                        (key, attempt, holder) -> {});
            }
            return mRecords.size();
        }

        private LogRecord decode(final byte[] bytes) {
            try {
                return mCodec.decode(bytes);
            } catch (final RecordFormatException e) {
                throw new IllegalStateException("cannot decode a record that was just encoded", e);
            }
        }
    }
}
