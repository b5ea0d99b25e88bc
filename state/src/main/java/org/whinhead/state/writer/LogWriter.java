package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;
import org.whinhead.state.record.RecordSink;

/**
 * Decides what to append to one stream and when; single-threaded, without input, output or clock.
 *
 * <p>One append is in flight at a time, and a batch is finished before a later one is sent, so
 * first copies stand in the stream by rising sequence, as the sequence ledger wants it.
 *
 * <p>Guards against an append whose answer was lost after it took effect. The batch is looked for
 * in the stream, and sent again only when a read that began after the loss reached the head without
 * meeting it. The first copy may still land after that; it then carries a sequence that was folded
 * already and is dropped.
 */
public final class LogWriter implements RecordSink {

    private final DaemonId mSelf;
    private final WriterLimits mLimits;
    private final Backoff mBackoff;
    private final Deque<LogRecord> mQueue = new ArrayDeque<>();
    private List<LogRecord> mBatch = List.of();
    private Phase mPhase = Phase.READY;
    private boolean mBatchSeen;
    private Instant mNotBefore = Instant.MIN;
    private Instant mUncertainSince = Instant.MIN;
    private long mLastSequence;

    /**
     * Makes a writer.
     *
     * @param self the daemon, whose identity no other writer of the stream shares
     * @param limits how much it takes in
     * @param backoff when to try again
     */
    public LogWriter(final DaemonId self, final WriterLimits limits, final Backoff backoff) {
        mSelf = Objects.requireNonNull(self, "self");
        mLimits = Objects.requireNonNull(limits, "limits");
        mBackoff = Objects.requireNonNull(backoff, "backoff");
    }

    @Override
    public Optional<RecordId> offer(final Function<RecordId, LogRecord> record, final Instant now) {
        if (mQueue.size() >= mLimits.maxQueuedRecords()) {
            return Optional.empty();
        }
        mLastSequence++;
        final RecordId id = new RecordId(mSelf, mLastSequence);
        mQueue.add(record.apply(id));
        return Optional.of(id);
    }

    @Override
    public boolean isIdle() {
        return mPhase == Phase.READY && mBatch.isEmpty() && mQueue.isEmpty();
    }

    /** Returns how many records are queued or of unknown fate. */
    public int pendingCount() {
        return mQueue.size() + mBatch.size();
    }

    /**
     * Takes the append that is to be sent now; one of the three answers must follow.
     *
     * @param now the time
     * @return the records, or empty if nothing is to be sent
     */
    public Optional<List<LogRecord>> nextBatch(final Instant now) {
        if (mPhase != Phase.READY || now.isBefore(mNotBefore)) {
            return Optional.empty();
        }
        if (mBatch.isEmpty()) {
            mBatch = takeBatch();
            mBatchSeen = false;
        }
        if (mBatch.isEmpty()) {
            return Optional.empty();
        }
        mPhase = Phase.IN_FLIGHT;
        return Optional.of(mBatch);
    }

    private List<LogRecord> takeBatch() {
        final List<LogRecord> batch = mQueue.stream().limit(mLimits.maxBatchRecords()).toList();
        batch.forEach(record -> mQueue.remove());
        return batch;
    }

    /** The append took effect. */
    public void onAppended() {
        requireInFlight();
        finishBatch();
    }

    /**
     * The append was refused and did not take effect (status 429 or 503).
     *
     * @param retryAfter what the log asked to wait
     * @param now the time
     */
    public void onRefused(final Duration retryAfter, final Instant now) {
        requireInFlight();
        mPhase = Phase.READY;
        mNotBefore = mBackoff.recordFailure(now, retryAfter);
        finishIfSeen();
    }

    /**
     * The answer was lost; the append may have taken effect, or still may.
     *
     * @param now the time
     */
    public void onOutcomeUnknown(final Instant now) {
        requireInFlight();
        mPhase = Phase.UNCERTAIN;
        mUncertainSince = now;
        mNotBefore = mBackoff.recordFailure(now, Duration.ZERO);
        finishIfSeen();
    }

    /**
     * A record was read from the stream.
     *
     * @param id its identity
     */
    public void onRecordRead(final RecordId id) {
        if (id.incarnation().equals(mSelf)) {
            onSequenceRead(id.sequence());
        }
    }

    /**
     * The reader took a checkpoint and skipped records, perhaps those that are looked for.
     *
     * @param highest this daemon's highest sequence in the checkpoint
     */
    public void onSequenceRead(final long highest) {
        if (!mBatch.isEmpty() && highest >= mBatch.get(0).id().sequence()) {
            mBatchSeen = true;
            finishIfSeen();
        }
    }

    /**
     * A read reached the head of the stream; all its records were handed to {@link #onRecordRead}.
     *
     * @param startedAt when the read was sent
     */
    public void onHeadReached(final Instant startedAt) {
        if (mPhase == Phase.UNCERTAIN && startedAt.isAfter(mUncertainSince)) {
            mPhase = Phase.READY;
        }
    }

    private void finishIfSeen() {
        if (mBatchSeen && mPhase != Phase.IN_FLIGHT) {
            finishBatch();
        }
    }

    private void finishBatch() {
        mBatch = List.of();
        mBatchSeen = false;
        mPhase = Phase.READY;
        mNotBefore = Instant.MIN;
        mBackoff.reset();
    }

    private void requireInFlight() {
        if (mPhase != Phase.IN_FLIGHT) {
            throw new IllegalStateException("no append in flight");
        }
    }

    private enum Phase {
        READY,
        IN_FLIGHT,
        UNCERTAIN
    }
}
