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

/** Sends one stream's reads and appends to the log and handles results; on the log thread. */
final class LogStreamClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(LogStreamClient.class);
    private static final DaemonId UNREADABLE_WRITER = new DaemonId("unreadable");
    private static final String EMPTY_BODY = "{}";

    private final String mStream;
    private final LogClient mClient;
    private final TimedTaskLoop mLoop;
    private final LogReader mReader;
    private final LogWriter mWriter;
    private final LogRecordCodec mCodec = new LogRecordCodec();
    private StreamHandler mHandler;
    private Instant mLastAnswerAt = Instant.MIN;
    private boolean mAnswering;
    private int mMaxRecords = Integer.MAX_VALUE;

    LogStreamClient(
            final String stream,
            final LogClient client,
            final TimedTaskLoop loop,
            final LogReader reader,
            final LogWriter writer) {
        mStream = Objects.requireNonNull(stream, "stream");
        mClient = client;
        mLoop = loop;
        mReader = reader;
        mWriter = writer;
    }

    void setHandler(final StreamHandler handler) {
        mHandler = handler;
    }

    LogReader reader() {
        return mReader;
    }

    LogWriter writer() {
        return mWriter;
    }

    /** Returns whether the log's last answer about this stream was not a failure. */
    boolean isAnswering() {
        return mAnswering;
    }

    /** Returns the time of the log's last answer that was not a failure. */
    Instant lastAnswerAt() {
        return mLastAnswerAt;
    }

    /** Sends the append that is due and, if reading is wanted, the read that is due. */
    void sendDue(final boolean reading, final Instant now) {
        mWriter.nextBatch(now).ifPresent(this::append);
        if (reading) {
            mReader.nextRead(now).ifPresent(this::read);
        }
    }

    private void append(final List<LogRecord> batch) {
        final List<byte[]> bytes = batch.stream().map(mCodec::encode).toList();
        mClient.append(mStream, bytes)
                .thenAccept(result -> mLoop.offerUntilAccepted(now -> onAppendResult(result, now)));
    }

    private void onAppendResult(final AppendResult result, final Instant now) {
        if (result instanceof AppendResult.Appended) {
            recordAnswer(now);
            mWriter.onAppended();
        } else if (result instanceof AppendResult.NotAppended rejected) {
            mAnswering = false;
            mWriter.onRefused(rejected.retryAfter(), now);
        } else {
            mWriter.onOutcomeUnknown(now);
        }
    }

    private void recordAnswer(final Instant now) {
        mAnswering = true;
        mLastAnswerAt = now;
    }

    private void read(final ReadRequest due) {
        final ReadRequest request =
                new ReadRequest(
                        due.fromOffset(),
                        Math.min(due.maxRecords(), mMaxRecords),
                        due.maxWait(),
                        due.sentAt());
        mClient.read(mStream, request.fromOffset(), request.maxRecords(), request.maxWait())
                .thenAccept(
                        result ->
                                mLoop.offerUntilAccepted(
                                        now -> onReadResult(request, result, now)));
    }

    private void onReadResult(
            final ReadRequest request, final ReadResult result, final Instant now) {
        if (result instanceof ReadResult.Records records) {
            recordAnswer(now);
            onRecords(request, records, now);
        } else if (result instanceof ReadResult.Expired expired) {
            recordAnswer(now);
            mReader.onExpired(expired.oldest());
            mHandler.onExpired(expired.oldest(), now);
        } else if (result instanceof ReadResult.Unavailable unavailable) {
            mAnswering = false;
            // Guards against records that together exceed the size limit of an answer: the same
            // read would fail forever, so the next one asks for fewer.
            if (unavailable.tooLarge()) {
                mMaxRecords = Math.max(1, request.maxRecords() / 2);
            }
            mReader.onFailure(unavailable.retryAfter(), now);
        }
    }

    private void onRecords(
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
        mHandler.onRecords(entries, atHead, now);
    }

    /**
     * Decodes a record. Guards against a damaged or foreign record, at which every daemon would
     * stop for good: it is decoded as a record of an unknown kind, which every fold skips.
     */
    private LogEntry decode(final StoredRecord stored) {
        try {
            return new LogEntry(stored.offset(), stored.at(), mCodec.decode(stored.data()));
        } catch (final RecordFormatException e) {
            LOGGER.atWarn()
                    .setCause(e)
                    .addKeyValue("stream", mStream)
                    .addKeyValue("offset", stored.offset())
                    .log("unreadable log record skipped");
            final RecordId id = new RecordId(UNREADABLE_WRITER, stored.offset() + 1);
            return new LogEntry(
                    stored.offset(),
                    stored.at(),
                    new LogRecord.Unknown(id, UNREADABLE_WRITER.value(), EMPTY_BODY));
        }
    }
}
