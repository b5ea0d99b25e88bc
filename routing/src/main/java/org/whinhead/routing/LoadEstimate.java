package org.whinhead.routing;

import java.time.Instant;

/**
 * How many requests one endpoint has: its last report, corrected by what this daemon sent and saw
 * end since that report was measured.
 */
final class LoadEstimate {

    private static final int CAPACITY = 256;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long[] mTimes = new long[CAPACITY];
    private final int[] mDeltas = new int[CAPACITY];
    private final long mTransitNanos;
    private int mHead;
    private int mSize;
    private int mSinceReport;
    private int mReported;
    private int mOwnInFlight;
    private long mAsOf = Long.MIN_VALUE;

    LoadEstimate(final long transitNanos) {
        mTransitNanos = transitNanos;
    }

    /** Returns the estimate; never below the own requests in progress, which are known for sure. */
    int requests() {
        return Math.max(mOwnInFlight, mReported + mSinceReport);
    }

    int reported() {
        return mReported;
    }

    int ownInFlight() {
        return mOwnInFlight;
    }

    void sent(final Instant now) {
        mOwnInFlight++;
        note(nanos(now), 1);
    }

    void ended(final Instant now) {
        mOwnInFlight--;
        note(nanos(now), -1);
    }

    /**
     * Takes a report unless a newer one is known.
     *
     * <p>Guards against a report that hides own sends: a request sent shortly before the endpoint
     * measured had not arrived there yet, and an endpoint whose clock is ahead dates its report
     * after them. Only what is older than the report by the transit time is taken as included.
     */
    void report(final LoadReport report, final Instant now) {
        final long asOf = Math.min(nanos(report.asOf()), nanos(now));
        if (asOf < mAsOf) {
            return;
        }
        mAsOf = asOf;
        mReported = report.running() + report.waiting();
        while (mSize > 0 && mTimes[mHead] <= asOf - mTransitNanos) {
            dropOldest();
        }
        mSinceReport = 0;
        for (int i = 0; i < mSize; i++) {
            mSinceReport += mDeltas[(mHead + i) % CAPACITY];
        }
    }

    private void note(final long time, final int delta) {
        if (mSize == CAPACITY) {
            dropOldest();
        }
        final int tail = (mHead + mSize) % CAPACITY;
        mTimes[tail] = time;
        mDeltas[tail] = delta;
        mSize++;
        mSinceReport += delta;
    }

    private void dropOldest() {
        mHead = (mHead + 1) % CAPACITY;
        mSize--;
    }

    private static long nanos(final Instant time) {
        return time.getEpochSecond() * NANOS_PER_SECOND + time.getNano();
    }
}
