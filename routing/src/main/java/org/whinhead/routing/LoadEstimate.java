package org.whinhead.routing;

import java.time.Instant;

/**
 * How many requests one endpoint has: its last report, corrected by what this daemon sent and saw
 * end since that report was measured.
 */
final class LoadEstimate {

    private static final int MAX_CHANGES = 256;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long[] mChangeNanos = new long[MAX_CHANGES];
    private final int[] mChangeDeltas = new int[MAX_CHANGES];
    private final long mTransitNanos;
    private int mHead;
    private int mSize;
    private int mDeltaSinceReport;
    private int mReportedRequests;
    private int mOwnInFlight;
    private long mReportAsOfNanos = Long.MIN_VALUE;

    LoadEstimate(final long transitNanos) {
        mTransitNanos = transitNanos;
    }

    /** Returns the estimate; never below the own requests in progress, which are known for sure. */
    int requests() {
        return Math.max(mOwnInFlight, mReportedRequests + mDeltaSinceReport);
    }

    int reportedRequests() {
        return mReportedRequests;
    }

    int ownInFlight() {
        return mOwnInFlight;
    }

    void requestSent(final Instant now) {
        mOwnInFlight++;
        recordChange(epochNanos(now), 1);
    }

    void requestEnded(final Instant now) {
        mOwnInFlight--;
        recordChange(epochNanos(now), -1);
    }

    /**
     * Takes a report unless a newer one is known.
     *
     * <p>Guards against a report that hides own sends: a request sent shortly before the endpoint
     * measured had not arrived there yet, and an endpoint whose clock is ahead dates its report
     * after them. Only what is older than the report by the transit time is taken as included.
     */
    void applyReport(final LoadReport report, final Instant now) {
        final long asOf = Math.min(epochNanos(report.asOf()), epochNanos(now));
        if (asOf < mReportAsOfNanos) {
            return;
        }
        mReportAsOfNanos = asOf;
        mReportedRequests = report.running() + report.waiting();
        while (mSize > 0 && mChangeNanos[mHead] <= asOf - mTransitNanos) {
            dropOldest();
        }
        mDeltaSinceReport = 0;
        for (int i = 0; i < mSize; i++) {
            mDeltaSinceReport += mChangeDeltas[(mHead + i) % MAX_CHANGES];
        }
    }

    private void recordChange(final long time, final int delta) {
        if (mSize == MAX_CHANGES) {
            dropOldest();
        }
        final int tail = (mHead + mSize) % MAX_CHANGES;
        mChangeNanos[tail] = time;
        mChangeDeltas[tail] = delta;
        mSize++;
        mDeltaSinceReport += delta;
    }

    private void dropOldest() {
        mHead = (mHead + 1) % MAX_CHANGES;
        mSize--;
    }

    private static long epochNanos(final Instant time) {
        return time.getEpochSecond() * NANOS_PER_SECOND + time.getNano();
    }
}
