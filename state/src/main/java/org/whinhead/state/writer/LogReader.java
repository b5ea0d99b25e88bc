package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * Decides which read of one stream to send next. Single-threaded, without I/O or a clock of its
 * own.
 */
public final class LogReader {

    private final int mMaxRecords;
    private final Duration mMaxWait;
    private final WriteBackoff mBackoff;
    private long mNextOffset;
    private long mOldestAvailable;
    private boolean mInFlight;
    private Instant mNotBefore = Instant.MIN;

    /**
     * Creates a reader at offset 0.
     *
     * @param maxRecords the highest number of records in a read, at least 1
     * @param maxWait the longest time that the log may wait for a record
     * @param backoff the delays after failed reads
     */
    public LogReader(final int maxRecords, final Duration maxWait, final WriteBackoff backoff) {
        mMaxRecords = (int) Arguments.requireAtLeast(maxRecords, 1, "maxRecords");
        mMaxWait = Objects.requireNonNull(maxWait, "maxWait");
        mBackoff = Objects.requireNonNull(backoff, "backoff");
    }

    /** Returns the next offset to read. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the oldest available offset reported by the log, or 0 if it reported none. */
    public long oldestAvailable() {
        return mOldestAvailable;
    }

    /**
     * Returns whether the records at the next offset have expired, so that the reader can continue
     * only from a checkpoint or a peer's state at {@link #oldestAvailable} or beyond.
     */
    public boolean needsCheckpoint() {
        return mOldestAvailable > mNextOffset;
    }

    /**
     * Returns the read to send now and marks it as in flight. The caller then calls {@link
     * #onRecords}, {@link #onExpired} or {@link #onFailure}.
     *
     * @param now the time
     * @return the read, or empty if a read is in flight, delayed or impossible
     */
    public Optional<ReadRequest> nextRead(final Instant now) {
        if (mInFlight || needsCheckpoint() || now.isBefore(mNotBefore)) {
            return Optional.empty();
        }
        mInFlight = true;
        return Optional.of(new ReadRequest(mNextOffset, mMaxRecords, mMaxWait, now));
    }

    /**
     * Handles the records returned by a read.
     *
     * @param request the read
     * @param count the number of records returned, starting at the read's first offset
     * @return whether the records reach the head of the stream
     */
    public boolean onRecords(final ReadRequest request, final int count) {
        mInFlight = false;
        mBackoff.reset();
        mNextOffset = Math.max(mNextOffset, request.fromOffset() + count);
        return count < request.maxRecords();
    }

    /**
     * Handles a response that the records have expired (status 410).
     *
     * @param oldest the oldest available offset
     */
    public void onExpired(final long oldest) {
        mInFlight = false;
        mOldestAvailable = Math.max(mOldestAvailable, oldest);
    }

    /**
     * Handles a failed read.
     *
     * @param retryAfter the shortest delay, as requested by the log
     * @param now the time
     */
    public void onFailure(final Duration retryAfter, final Instant now) {
        mInFlight = false;
        mNotBefore = mBackoff.recordFailure(now, retryAfter);
    }

    /**
     * Continues from the fold's next offset after the fold installed a state or found a gap.
     *
     * @param offset the first offset that is not applied
     */
    public void seek(final long offset) {
        mNextOffset = Arguments.requireAtLeast(offset, 0, "offset");
    }
}
