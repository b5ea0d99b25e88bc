package org.whinhead.routing;

import java.time.Instant;

/**
 * The estimated number of requests at one endpoint: its last report plus the requests that this
 * daemon sent, minus those that ended, since the report was measured.
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

    /** Returns the estimate; at least this daemon's requests in flight, whose number is exact. */
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
     * Applies a report unless a newer one is known.
     *
     * <p>A report includes only changes that are older than the report by the transit time: a
     * request sent shortly before the measurement had not arrived yet. The report's time is limited
     * to the present, since the endpoint's clock may be ahead.
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
