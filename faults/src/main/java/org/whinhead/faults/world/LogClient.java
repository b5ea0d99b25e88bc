package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.writer.Backoff;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.ReadRequest;
import org.whinhead.state.writer.WriterLimits;

/** One daemon's writer and reader of one stream, with answers that wait while it is paused. */
final class LogClient {

    private static final int QUEUE = 256;
    private static final int BATCH = 16;
    private static final int READ = 64;
    private static final Duration FIRST = Duration.ofMillis(20);
    private static final Duration LONGEST = Duration.ofMillis(500);

    private final FakeLog mLog;
    private final String mStream;
    private final FakeProcess mProcess;
    private final LogWriter mWriter;
    private final LogReader mReader;
    private final BiConsumer<LogEntry, Instant> mConsumer;
    private final LongConsumer mExpired;
    private Runnable mAtHead = () -> {};

    LogClient(
            final FakeLog log,
            final String stream,
            final DaemonId self,
            final FakeProcess process,
            final BiConsumer<LogEntry, Instant> consumer,
            final LongConsumer expired) {
        mLog = log;
        mStream = stream;
        mProcess = process;
        mConsumer = consumer;
        mExpired = expired;
        final SplittableRandom random = new SplittableRandom(self.hashCode() + stream.hashCode());
        mWriter =
                new LogWriter(
                        self, new WriterLimits(QUEUE, BATCH), new Backoff(FIRST, LONGEST, random));
        mReader = new LogReader(READ, Duration.ZERO, new Backoff(FIRST, LONGEST, random));
    }

    LogWriter writer() {
        return mWriter;
    }

    LogReader reader() {
        return mReader;
    }

    void whenAtHead(final Runnable atHead) {
        mAtHead = atHead;
    }

    /** Sends what is due. */
    void pump(final Instant now) {
        mWriter.nextBatch(now)
                .ifPresent(
                        batch ->
                                mLog.append(
                                        mStream,
                                        batch,
                                        answer -> mProcess.post(at -> appended(answer, at))));
        mReader.nextRead(now)
                .ifPresent(
                        request ->
                                mLog.read(
                                        mStream,
                                        request.fromOffset(),
                                        request.maxRecords(),
                                        answer -> mProcess.post(at -> read(request, answer, at))));
    }

    private void appended(final FakeLog.Appended answer, final Instant now) {
        switch (answer) {
            case DONE -> mWriter.onAppended();
            case REFUSED -> mWriter.onRefused(Duration.ZERO, now);
            case UNKNOWN -> mWriter.onOutcomeUnknown(now);
            default -> throw new IllegalArgumentException("unknown answer " + answer);
        }
    }

    private void read(final ReadRequest request, final FakeLog.Read answer, final Instant now) {
        if (answer.failed()) {
            mReader.onFailure(Duration.ZERO, now);
            return;
        }
        if (request.fromOffset() < answer.oldest()) {
            mReader.onExpired(answer.oldest());
            mExpired.accept(answer.oldest());
            return;
        }
        for (final LogEntry entry : answer.entries()) {
            mWriter.onRecordRead(entry.record().id());
            mConsumer.accept(entry, now);
        }
        if (mReader.onRecords(request, answer.entries().size())) {
            mWriter.onHeadReached(request.sentAt());
            mAtHead.run();
        }
    }
}
