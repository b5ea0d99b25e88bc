package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/** What one daemon keeps for one service: its own requests, their times and those that wait. */
final class ServiceState {

    private final WaitingRequests mWaiting = new WaitingRequests();
    private final ServiceTimes mTimes = new ServiceTimes();
    private final ReleasePace mPace = new ReleasePace();
    private final Instant[] mRefusedAt = new Instant[RankCounts.RANKS];
    private RankCounts mRunning = RankCounts.NONE;

    ServiceState() {
        Arrays.fill(mRefusedAt, Instant.EPOCH);
    }

    WaitingRequests waiting() {
        return mWaiting;
    }

    ServiceTimes times() {
        return mTimes;
    }

    ReleasePace pace() {
        return mPace;
    }

    RankCounts running() {
        return mRunning;
    }

    void started(final int rank) {
        mRunning = mRunning.changed(rank, 1);
    }

    void ended(final int rank) {
        mRunning = mRunning.changed(rank, -1);
        if (mWaiting.counts().total() > 0) {
            mPace.placeFreed();
        }
    }

    void refused(final int rank, final Instant now) {
        mRefusedAt[rank] = now;
    }

    /** Returns whether a request more urgent than a rank was refused within a time. */
    boolean hasRefusedMoreUrgent(final int rank, final Duration within, final Instant now) {
        return Arrays.stream(mRefusedAt, 0, rank).anyMatch(at -> now.isBefore(at.plus(within)));
    }

    boolean isIdle() {
        return mRunning.total() == 0 && mWaiting.counts().total() == 0;
    }
}
