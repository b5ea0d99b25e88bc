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

    private final int mMax;
    private final Duration mWaitAtMost;
    private final Backoff mBackoff;
    private long mPosition;
    private long mOldest;
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
        mMax = (int) Arguments.requireAtLeast(max, 1, "max");
        mWaitAtMost = Objects.requireNonNull(waitAtMost, "waitAtMost");
        mBackoff = Objects.requireNonNull(backoff, "backoff");
    }

    /** Returns the next offset to read. */
    public long position() {
        return mPosition;
    }

    /** Returns the oldest offset that the log still had, as far as it said. */
    public long oldest() {
        return mOldest;
    }

    /**
     * Tells whether the records at the position have expired, so that only a checkpoint, or a
     * peer's state, as of at least {@link #oldest} helps on.
     */
    public boolean needsCheckpoint() {
        return mOldest > mPosition;
    }

    /**
     * Takes the read that is to be sent now; one of the three answers must follow.
     *
     * @param now the time
     * @return the read, or empty if none is to be sent
     */
    public Optional<ReadRequest> next(final Instant now) {
        if (mInFlight || needsCheckpoint() || now.isBefore(mNotBefore)) {
            return Optional.empty();
        }
        mInFlight = true;
        return Optional.of(new ReadRequest(mPosition, mMax, mWaitAtMost, now));
    }

    /**
     * Records arrived.
     *
     * @param request the read
     * @param count how many records arrived, from the read's first offset on
     * @return whether they reach to the stream's head
     */
    public boolean answered(final ReadRequest request, final int count) {
        mInFlight = false;
        mBackoff.succeeded();
        mPosition = Math.max(mPosition, request.from() + count);
        return count < request.max();
    }

    /**
     * The records have expired (status 410).
     *
     * @param oldest the oldest offset that is left
     */
    public void expired(final long oldest) {
        mInFlight = false;
        mOldest = Math.max(mOldest, oldest);
    }

    /**
     * The read failed.
     *
     * @param retryAfter what the log asked to wait
     * @param now the time
     */
    public void failed(final Duration retryAfter, final Instant now) {
        mInFlight = false;
        mNotBefore = mBackoff.failed(now, retryAfter);
    }

    /**
     * Goes on from the fold's position, after the fold took a state or met a gap.
     *
     * @param position the first offset that was not applied
     */
    public void moveTo(final long position) {
        mPosition = Arguments.requireAtLeast(position, 0, "position");
    }
}
