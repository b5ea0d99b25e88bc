package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * Decides which read of one stream to send next; single-threaded, without input, output or clock.
 */
public final class LogReader {

    private final int mMaxRecords;
    private final Duration mMaxWait;
    private final Backoff mBackoff;
    private long mNextOffset;
    private long mOldestAvailable;
    private boolean mInFlight;
    private Instant mNotBefore = Instant.MIN;

    /**
     * Makes a reader at offset 0.
     *
     * @param max the most records in one read
     * @param waitAtMost how long the log may wait for a record
     * @param backoff when to try again
     */
    public LogReader(final int max, final Duration waitAtMost, final Backoff backoff) {
        mMaxRecords = (int) Arguments.requireAtLeast(max, 1, "max");
        mMaxWait = Objects.requireNonNull(waitAtMost, "waitAtMost");
        mBackoff = Objects.requireNonNull(backoff, "backoff");
    }

    /** Returns the next offset to read. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the oldest offset that the log still had, as far as it said. */
    public long oldestAvailable() {
        return mOldestAvailable;
    }

    /**
     * Tells whether the records at the position have expired, so that only a checkpoint, or a
     * peer's state, as of at least {@link #oldestAvailable} helps on.
     */
    public boolean needsCheckpoint() {
        return mOldestAvailable > mNextOffset;
    }

    /**
     * Takes the read that is to be sent now; one of the three answers must follow.
     *
     * @param now the time
     * @return the read, or empty if none is to be sent
     */
    public Optional<ReadRequest> nextRead(final Instant now) {
        if (mInFlight || needsCheckpoint() || now.isBefore(mNotBefore)) {
            return Optional.empty();
        }
        mInFlight = true;
        return Optional.of(new ReadRequest(mNextOffset, mMaxRecords, mMaxWait, now));
    }

    /**
     * Records arrived.
     *
     * @param request the read
     * @param count how many records arrived, from the read's first offset on
     * @return whether they reach to the stream's head
     */
    public boolean onRecords(final ReadRequest request, final int count) {
        mInFlight = false;
        mBackoff.reset();
        mNextOffset = Math.max(mNextOffset, request.fromOffset() + count);
        return count < request.maxRecords();
    }

    /**
     * The records have expired (status 410).
     *
     * @param oldest the oldest offset that is left
     */
    public void onExpired(final long oldest) {
        mInFlight = false;
        mOldestAvailable = Math.max(mOldestAvailable, oldest);
    }

    /**
     * The read failed.
     *
     * @param retryAfter what the log asked to wait
     * @param now the time
     */
    public void onFailure(final Duration retryAfter, final Instant now) {
        mInFlight = false;
        mNotBefore = mBackoff.recordFailure(now, retryAfter);
    }

    /**
     * Goes on from the fold's position, after the fold took a state or met a gap.
     *
     * @param position the first offset that was not applied
     */
    public void seek(final long position) {
        mNextOffset = Arguments.requireAtLeast(position, 0, "position");
    }
}
