package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The endpoints of one service in one failure domain, as they are and as they should be. */
final class DomainCapacity {

    /** How long after one reclaim another is expected; those of a wave came 2 to 6 s apart. */
    private static final Duration WAVE_DURATION = Duration.ofSeconds(8);

    /** How long the notices of one reclaim take to be read. */
    private static final Duration RECLAIM_WINDOW = Duration.ofMillis(2_000);

    /** Part of the endpoints that may still be listed when a reclaim is taken for one. */
    private static final double MAX_REMAINING_SHARE = 0.25;

    private final String mDomain;
    private final int mMaxEndpoints;
    private int mOnDemandNow;
    private int mReclaimableNow;
    private int mOnDemandTarget;
    private int mReclaimableTarget;
    private boolean mOutOfStock;
    private Instant mReclaimedAt = Instant.EPOCH;
    private int mOnDemandPending;
    private Instant mPendingUntil = Instant.EPOCH;
    private int mPeak;
    private Instant mPeakAt = Instant.EPOCH;

    DomainCapacity(final String domain, final int most) {
        mDomain = domain;
        mMaxEndpoints = most;
    }

    /** Counts what is listed now, and tells whether that is fewer of a kind than before. */
    boolean updateCounts(final Collection<EndpointEntry> endpoints, final Instant now) {
        final int onDemandBefore = mOnDemandNow;
        final int reclaimableBefore = mReclaimableNow;
        mOnDemandNow = 0;
        mReclaimableNow = 0;
        for (final EndpointEntry endpoint : endpoints) {
            if (!endpoint.domain().equals(mDomain)) {
                continue;
            }
            if (endpoint.reclaimable()) {
                mReclaimableNow++;
            } else {
                mOnDemandNow++;
            }
        }
        detectReclaim(now);
        return mOnDemandNow < onDemandBefore || mReclaimableNow < reclaimableBefore;
    }

    /**
     * Notes a reclaim: most of the reclaimable endpoints go within a moment, though they are
     * wanted. Not all, since the list is read in parts, and entries of other starts may stay a
     * while.
     */
    private void detectReclaim(final Instant now) {
        if (mReclaimableNow >= mPeak || now.isAfter(mPeakAt.plus(RECLAIM_WINDOW))) {
            mPeak = mReclaimableNow;
            mPeakAt = now;
        }
        final boolean mostGone = mReclaimableNow <= mPeak * MAX_REMAINING_SHARE;
        if (mPeak > 0 && mostGone && mReclaimableTarget > mReclaimableNow) {
            mReclaimedAt = now;
        }
    }

    /**
     * Takes all endpoints on demand that are here, or on their way, as wanted: while the list still
     * grows, and while another daemon orders.
     */
    void keepAllOnDemand(final Instant now) {
        final boolean underWay = now.isBefore(mPendingUntil);
        mOnDemandTarget = underWay ? Math.max(mOnDemandNow, mOnDemandPending) : mOnDemandNow;
    }

    /** Notes how many endpoints on demand another daemon has ordered, and when they are listed. */
    void recordPeerOrder(final int count, final Instant listedAt) {
        mOnDemandPending = count;
        mPendingUntil = listedAt;
    }

    /** Tells whether all reclaimable endpoints were taken back here within the last while. */
    boolean wasReclaimed(final Instant now) {
        return now.isBefore(mReclaimedAt.plus(WAVE_DURATION));
    }

    /**
     * Takes endpoints on demand that are here, though not ordered from here, as wanted.
     *
     * @param most how many at most
     * @return how many
     */
    int adoptOnDemand(final int most) {
        final int adopted = Math.max(Math.min(mOnDemandNow - mOnDemandTarget, most), 0);
        mOnDemandTarget += adopted;
        return adopted;
    }

    /** Counts endpoints that are here and wanted. */
    int keptCount() {
        return Math.min(mOnDemandNow, mOnDemandTarget) + mReclaimableNow;
    }

    String domain() {
        return mDomain;
    }

    int currentCount(final boolean reclaimable) {
        return reclaimable ? mReclaimableNow : mOnDemandNow;
    }

    int onDemandTarget() {
        return mOnDemandTarget;
    }

    /** Sets how many reclaimable endpoints there should be, as far as there is room. */
    void setReclaimableTarget(final int wanted) {
        mReclaimableTarget = wanted;
    }

    int reclaimableTarget() {
        final int onDemand = Math.max(mOnDemandNow, mOnDemandTarget);
        return Math.min(mReclaimableTarget, Math.max(mMaxEndpoints - onDemand, 0));
    }

    /** Notes whether the platform had reclaimable endpoints when they were ordered last. */
    void recordReclaimableAnswer(final boolean taken) {
        mOutOfStock = !taken;
    }

    /** Counts reclaimable endpoints that serve or are on their way. */
    int expectedReclaimable() {
        return mOutOfStock ? mReclaimableNow : Math.max(mReclaimableNow, reclaimableTarget());
    }

    /** Counts endpoints that serve or are on their way. */
    int expectedCount() {
        return Math.max(mOnDemandNow, mOnDemandTarget) + expectedReclaimable();
    }

    boolean hasRoom() {
        return mOnDemandTarget + mReclaimableNow < mMaxEndpoints;
    }

    /** Tells whether an endpoint on demand can go without leaving fewer than the least here. */
    boolean canRemoveOnDemand(final int least) {
        return mOnDemandTarget > 0 && mOnDemandTarget + mReclaimableNow > least;
    }

    void addOnDemand() {
        mOnDemandTarget++;
    }

    void removeOnDemand() {
        mOnDemandTarget--;
    }
}
