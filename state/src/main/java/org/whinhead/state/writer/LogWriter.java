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
 * Decides which records to append to one stream and when. Single-threaded, without I/O or a clock
 * of its own.
 *
 * <p>One append is in flight at a time, and a batch is finished before the next one is sent. The
 * first copies are thus in the stream in ascending sequence, as the record deduplicator requires.
 *
 * <p>An append whose response was lost may have taken effect. The batch is sent again only when a
 * read that began after the loss reached the head of the stream without finding the batch. If the
 * first copy is appended even later, its sequence was already applied and it is dropped.
 */
public final class LogWriter implements RecordSink {

    private final DaemonId mSelf;
    private final WriterLimits mLimits;
    private final WriteBackoff mBackoff;
    private final Deque<LogRecord> mQueue = new ArrayDeque<>();
    private List<LogRecord> mBatch = List.of();
    private Phase mPhase = Phase.READY;
    private boolean mBatchSeen;
    private Instant mNotBefore = Instant.MIN;
    private Instant mUncertainSince = Instant.MIN;
    private long mLastSequence;

    /**
     * Creates a writer.
     *
     * @param self the daemon; no other writer of the stream has the same identity
     * @param limits the limits of the queue and of a batch
     * @param backoff the delays after failed appends
     */
    public LogWriter(final DaemonId self, final WriterLimits limits, final WriteBackoff backoff) {
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

    /** Returns the number of records that are queued, in flight or of unknown outcome. */
    public int pendingCount() {
        return mQueue.size() + mBatch.size();
    }

    /**
     * Returns the batch to append now and marks it as in flight. The caller then calls {@link
     * #onAppended}, {@link #onRefused} or {@link #onOutcomeUnknown}.
     *
     * @param now the time
     * @return the records, or empty if no append is due
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

    /** Handles an append that took effect. */
    public void onAppended() {
        requireInFlight();
        finishBatch();
    }

    /**
     * Handles an append that was refused and did not take effect (status 429 or 503).
     *
     * @param retryAfter the shortest delay, as requested by the log
     * @param now the time
     */
    public void onRefused(final Duration retryAfter, final Instant now) {
        requireInFlight();
        mPhase = Phase.READY;
        mNotBefore = mBackoff.recordFailure(now, retryAfter);
        finishIfSeen();
    }

    /**
     * Handles a lost response: the append may have taken effect or may still take effect.
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
     * Handles a record that was read from the stream.
     *
     * @param id the record's identity
     */
    public void onRecordRead(final RecordId id) {
        if (id.incarnation().equals(mSelf)) {
            onSequenceRead(id.sequence());
        }
    }

    /**
     * Handles a sequence of this daemon that was read from the stream or found in an installed
     * checkpoint, which may have skipped the records of the batch.
     *
     * @param highest this daemon's highest sequence that was read
     */
    public void onSequenceRead(final long highest) {
        if (!mBatch.isEmpty() && highest >= mBatch.get(0).id().sequence()) {
            mBatchSeen = true;
            finishIfSeen();
        }
    }

    /**
     * Handles a read that reached the head of the stream, after all its records were passed to
     * {@link #onRecordRead}.
     *
     * @param startedAt the time at which the read was sent
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
