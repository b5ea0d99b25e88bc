package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.ReadRequest;
import org.whinhead.state.writer.WriteBackoff;
import org.whinhead.state.writer.WriterLimits;

/** One daemon's writer and reader of one stream; answers wait while the daemon is paused. */
final class PausableLogClient {

    private static final int QUEUE_RECORDS = 256;
    private static final int BATCH_RECORDS = 16;
    private static final int READ_RECORDS = 64;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);

    private final FakeLog mLog;
    private final String mStream;
    private final FakeProcess mProcess;
    private final LogWriter mWriter;
    private final LogReader mReader;
    private final BiConsumer<LogEntry, Instant> mEntryListener;
    private final LongConsumer mExpiryListener;
    private Runnable mHeadListener = () -> {};

    PausableLogClient(
            final FakeLog log,
            final String stream,
            final DaemonId self,
            final FakeProcess process,
            final BiConsumer<LogEntry, Instant> entryListener,
            final LongConsumer expiryListener) {
        mLog = log;
        mStream = stream;
        mProcess = process;
        mEntryListener = entryListener;
        mExpiryListener = expiryListener;
        final SplittableRandom random = new SplittableRandom(self.hashCode() + stream.hashCode());
        mWriter =
                new LogWriter(
                        self,
                        new WriterLimits(QUEUE_RECORDS, BATCH_RECORDS),
                        new WriteBackoff(FIRST_BACKOFF, MAX_BACKOFF, random));
        mReader =
                new LogReader(
                        READ_RECORDS,
                        Duration.ZERO,
                        new WriteBackoff(FIRST_BACKOFF, MAX_BACKOFF, random));
    }

    LogWriter writer() {
        return mWriter;
    }

    LogReader reader() {
        return mReader;
    }

    void setHeadListener(final Runnable headListener) {
        mHeadListener = headListener;
    }

    /** Sends the next batch and the next read if they are due. */
    void sendDue(final Instant now) {
        mWriter.nextBatch(now)
                .ifPresent(
                        batch ->
                                mLog.append(
                                        mStream,
                                        batch,
                                        answer -> mProcess.post(at -> onAppendResult(answer, at))));
        mReader.nextRead(now)
                .ifPresent(
                        request ->
                                mLog.read(
                                        mStream,
                                        request.fromOffset(),
                                        request.maxRecords(),
                                        answer ->
                                                mProcess.post(
                                                        at -> onReadResult(request, answer, at))));
    }

    private void onAppendResult(final FakeLog.AppendResult answer, final Instant now) {
        switch (answer) {
            case DONE -> mWriter.onAppended();
            case REFUSED -> mWriter.onRefused(Duration.ZERO, now);
            case UNKNOWN -> mWriter.onOutcomeUnknown(now);
            default -> throw new IllegalArgumentException("unknown append result " + answer);
        }
    }

    private void onReadResult(
            final ReadRequest request, final FakeLog.ReadResult answer, final Instant now) {
        if (answer.failed()) {
            mReader.onFailure(Duration.ZERO, now);
            return;
        }
        if (request.fromOffset() < answer.oldest()) {
            mReader.onExpired(answer.oldest());
            mExpiryListener.accept(answer.oldest());
            return;
        }
        for (final LogEntry entry : answer.entries()) {
            mWriter.onRecordRead(entry.record().id());
            mEntryListener.accept(entry, now);
        }
        if (mReader.onRecords(request, answer.entries().size())) {
            mWriter.onHeadReached(request.sentAt());
            mHeadListener.run();
        }
    }
}
