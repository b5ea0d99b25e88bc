package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.DaemonId;
import org.whinhead.clients.log.AppendResult;
import org.whinhead.clients.log.LogClient;
import org.whinhead.clients.log.ReadResult;
import org.whinhead.clients.log.StoredRecord;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.LogRecordCodec;
import org.whinhead.state.record.RecordFormatException;
import org.whinhead.state.record.RecordId;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.ReadRequest;

/** Carries one stream's reads and appends to the log and back; on the duty's thread. */
final class StreamPump {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamPump.class);
    private static final DaemonId FOREIGN = new DaemonId("unreadable");
    private static final String EMPTY_BODY = "{}";

    private final String mStream;
    private final LogClient mClient;
    private final DutyRing mRing;
    private final LogReader mReader;
    private final LogWriter mWriter;
    private final LogRecordCodec mCodec = new LogRecordCodec();
    private StreamHandler mHandler;
    private Instant mHeardAt = Instant.MIN;
    private boolean mAnswering;
    private int mMax = Integer.MAX_VALUE;

    StreamPump(
            final String stream,
            final LogClient client,
            final DutyRing ring,
            final LogReader reader,
            final LogWriter writer) {
        mStream = Objects.requireNonNull(stream, "stream");
        mClient = client;
        mRing = ring;
        mReader = reader;
        mWriter = writer;
    }

    void handler(final StreamHandler handler) {
        mHandler = handler;
    }

    LogReader reader() {
        return mReader;
    }

    LogWriter writer() {
        return mWriter;
    }

    /** Tells whether the log's last answer about this stream was not a failure. */
    boolean isAnswering() {
        return mAnswering;
    }

    /** Returns when the log last answered. */
    Instant heardAt() {
        return mHeardAt;
    }

    /** Sends what is due. */
    void run(final boolean reading, final Instant now) {
        mWriter.nextBatch(now).ifPresent(this::append);
        if (reading) {
            mReader.nextRead(now).ifPresent(this::read);
        }
    }

    private void append(final List<LogRecord> batch) {
        final List<byte[]> bytes = batch.stream().map(mCodec::encode).toList();
        mClient.append(mStream, bytes)
                .thenAccept(result -> mRing.deliver(now -> appended(result, now)));
    }

    private void appended(final AppendResult result, final Instant now) {
        if (result instanceof AppendResult.Appended) {
            heard(now);
            mWriter.onAppended();
        } else if (result instanceof AppendResult.NotAppended refused) {
            mAnswering = false;
            mWriter.onRefused(refused.retryAfter(), now);
        } else {
            mWriter.onOutcomeUnknown(now);
        }
    }

    private void heard(final Instant now) {
        mAnswering = true;
        mHeardAt = now;
    }

    private void read(final ReadRequest due) {
        final ReadRequest request =
                new ReadRequest(
                        due.fromOffset(),
                        Math.min(due.maxRecords(), mMax),
                        due.maxWait(),
                        due.sentAt());
        mClient.read(mStream, request.fromOffset(), request.maxRecords(), request.maxWait())
                .thenAccept(result -> mRing.deliver(now -> answered(request, result, now)));
    }

    private void answered(final ReadRequest request, final ReadResult result, final Instant now) {
        if (result instanceof ReadResult.Records records) {
            heard(now);
            taken(request, records, now);
        } else if (result instanceof ReadResult.Expired expired) {
            heard(now);
            mReader.onExpired(expired.oldest());
            mHandler.expired(expired.oldest(), now);
        } else if (result instanceof ReadResult.Unavailable failed) {
            mAnswering = false;
            // Guards against records that together outgrow the bound on an answer: the same read
            // would fail for ever, so fewer are asked for.
            if (failed.tooLarge()) {
                mMax = Math.max(1, request.maxRecords() / 2);
            }
            mReader.onFailure(failed.retryAfter(), now);
        }
    }

    private void taken(
            final ReadRequest request, final ReadResult.Records records, final Instant now) {
        final List<LogEntry> entries = new ArrayList<>();
        for (final StoredRecord record : records.entries()) {
            final LogEntry entry = decode(record);
            mWriter.onRecordRead(entry.record().id());
            entries.add(entry);
        }
        final boolean atHead = mReader.onRecords(request, entries.size());
        if (atHead) {
            mWriter.onHeadReached(request.sentAt());
        }
        mHandler.read(entries, atHead, now);
    }

    /**
     * Guards against a damaged or foreign record in the stream, at which every daemon would stop
     * for good: it is read as one of an unknown kind, which every fold steps over alike.
     */
    private LogEntry decode(final StoredRecord stored) {
        try {
            return new LogEntry(stored.offset(), stored.at(), mCodec.decode(stored.data()));
        } catch (final RecordFormatException e) {
            LOGGER.atWarn()
                    .setCause(e)
                    .addKeyValue("stream", mStream)
                    .addKeyValue("offset", stored.offset())
                    .log("a record cannot be read and is stepped over");
            final RecordId id = new RecordId(FOREIGN, stored.offset() + 1);
            return new LogEntry(
                    stored.offset(),
                    stored.at(),
                    new LogRecord.Unknown(id, FOREIGN.value(), EMPTY_BODY));
        }
    }
}
