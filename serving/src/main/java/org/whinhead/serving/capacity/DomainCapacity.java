package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The current and target numbers of a service's endpoints in one failure domain. */
final class DomainCapacity {

    /** The time in which another reclaim of the same wave is expected. */
    private static final Duration WAVE_DURATION = Duration.ofSeconds(8);

    /** The time within which all notices of one reclaim are read. */
    private static final Duration RECLAIM_WINDOW = Duration.ofMillis(2_000);

    /** The largest share of the endpoints that may still be listed when a reclaim is detected. */
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

    DomainCapacity(final String domain, final int limit) {
        mDomain = domain;
        mMaxEndpoints = limit;
    }

    /** Counts the listed endpoints, and returns whether there are fewer of a kind than before. */
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
     * Detects a reclaim: most of the wanted reclaimable endpoints disappear at once. Some may
     * remain, since the list is read in parts, and entries of other starts last for a while.
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
     * Sets the on-demand target to all endpoints that are listed or pending, while the list still
     * grows, and while another daemon orders.
     */
    void keepAllOnDemand(final Instant now) {
        final boolean pending = now.isBefore(mPendingUntil);
        mOnDemandTarget = pending ? Math.max(mOnDemandNow, mOnDemandPending) : mOnDemandNow;
    }

    /** Records another daemon's on-demand order, and the time by which it is carried out. */
    void recordPeerOrder(final int count, final Instant listedAt) {
        mOnDemandPending = count;
        mPendingUntil = listedAt;
    }

    /** Returns whether the reclaimable endpoints were reclaimed within a wave's duration. */
    boolean wasReclaimed(final Instant now) {
        return now.isBefore(mReclaimedAt.plus(WAVE_DURATION));
    }

    /**
     * Adds listed on-demand endpoints that this planner has not ordered to the target.
     *
     * @param limit the largest number to add
     * @return the number of added endpoints
     */
    int adoptOnDemand(final int limit) {
        final int adopted = Math.max(Math.min(mOnDemandNow - mOnDemandTarget, limit), 0);
        mOnDemandTarget += adopted;
        return adopted;
    }

    /** Returns the number of listed endpoints that are wanted. */
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

    /** Sets the target of reclaimable endpoints, which is limited by the room in the domain. */
    void setReclaimableTarget(final int target) {
        mReclaimableTarget = target;
    }

    int reclaimableTarget() {
        final int onDemand = Math.max(mOnDemandNow, mOnDemandTarget);
        return Math.min(mReclaimableTarget, Math.max(mMaxEndpoints - onDemand, 0));
    }

    /** Records whether the platform had reclaimable endpoints at the last order. */
    void recordReclaimableAnswer(final boolean accepted) {
        mOutOfStock = !accepted;
    }

    /** Returns the number of reclaimable endpoints that serve or are starting. */
    int expectedReclaimable() {
        return mOutOfStock ? mReclaimableNow : Math.max(mReclaimableNow, reclaimableTarget());
    }

    /** Returns the number of endpoints that serve or are starting. */
    int expectedCount() {
        return Math.max(mOnDemandNow, mOnDemandTarget) + expectedReclaimable();
    }

    boolean hasRoom() {
        return mOnDemandTarget + mReclaimableNow < mMaxEndpoints;
    }

    /** Returns whether an on-demand endpoint can be removed while the minimum remains. */
    boolean canRemoveOnDemand(final int minimum) {
        return mOnDemandTarget > 0 && mOnDemandTarget + mReclaimableNow > minimum;
    }

    void addOnDemand() {
        mOnDemandTarget++;
    }

    void removeOnDemand() {
        mOnDemandTarget--;
    }
}
