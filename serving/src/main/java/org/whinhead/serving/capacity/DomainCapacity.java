package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The endpoints of one service in one failure domain, as they are and as they should be. */
final class DomainCapacity {

    /** How long after one reclaim another is expected; those of a wave came 2 to 6 s apart. */
    private static final Duration WAVE = Duration.ofSeconds(8);

    /** How long the notices of one reclaim take to be read. */
    private static final Duration RECLAIM_WITHIN = Duration.ofMillis(2_000);

    /** Part of the endpoints that may still be listed when a reclaim is taken for one. */
    private static final double LEFT_BY_RECLAIM = 0.25;

    private final String mDomain;
    private final int mMost;
    private int mOnDemandNow;
    private int mReclaimableNow;
    private int mOnDemandGoal;
    private int mReclaimableWanted;
    private boolean mOutOfStock;
    private Instant mReclaimedAt = Instant.EPOCH;
    private int mOnDemandUnderWay;
    private Instant mUnderWayUntil = Instant.EPOCH;
    private int mPeak;
    private Instant mPeakAt = Instant.EPOCH;

    DomainCapacity(final String domain, final int most) {
        mDomain = domain;
        mMost = most;
    }

    /** Counts what is listed now, and tells whether that is fewer of a kind than before. */
    boolean listed(final Collection<EndpointEntry> endpoints, final Instant now) {
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
        noteReclaim(now);
        return mOnDemandNow < onDemandBefore || mReclaimableNow < reclaimableBefore;
    }

    /**
     * Notes a reclaim: most of the reclaimable endpoints go within a moment, though they are
     * wanted. Not all, since the list is read in parts, and entries of other starts may stay a
     * while.
     */
    private void noteReclaim(final Instant now) {
        if (mReclaimableNow >= mPeak || now.isAfter(mPeakAt.plus(RECLAIM_WITHIN))) {
            mPeak = mReclaimableNow;
            mPeakAt = now;
        }
        final boolean mostGone = mReclaimableNow <= mPeak * LEFT_BY_RECLAIM;
        if (mPeak > 0 && mostGone && mReclaimableWanted > mReclaimableNow) {
            mReclaimedAt = now;
        }
    }

    /**
     * Takes all endpoints on demand that are here, or on their way, as wanted: while the list still
     * grows, and while another daemon orders.
     */
    void keepOnDemand(final Instant now) {
        final boolean underWay = now.isBefore(mUnderWayUntil);
        mOnDemandGoal = underWay ? Math.max(mOnDemandNow, mOnDemandUnderWay) : mOnDemandNow;
    }

    /** Notes how many endpoints on demand another daemon has ordered, and when they are listed. */
    void onDemandOrderedElsewhere(final int count, final Instant listedAt) {
        mOnDemandUnderWay = count;
        mUnderWayUntil = listedAt;
    }

    /** Tells whether all reclaimable endpoints were taken back here within the last while. */
    boolean wasReclaimed(final Instant now) {
        return now.isBefore(mReclaimedAt.plus(WAVE));
    }

    /**
     * Takes endpoints on demand that are here, though not ordered from here, as wanted.
     *
     * @param most how many at most
     * @return how many
     */
    int adoptOnDemand(final int most) {
        final int adopted = Math.max(Math.min(mOnDemandNow - mOnDemandGoal, most), 0);
        mOnDemandGoal += adopted;
        return adopted;
    }

    /** Counts endpoints that are here and wanted. */
    int kept() {
        return Math.min(mOnDemandNow, mOnDemandGoal) + mReclaimableNow;
    }

    String domain() {
        return mDomain;
    }

    int now(final boolean reclaimable) {
        return reclaimable ? mReclaimableNow : mOnDemandNow;
    }

    int onDemandGoal() {
        return mOnDemandGoal;
    }

    /** Sets how many reclaimable endpoints there should be, as far as there is room. */
    void wantReclaimable(final int wanted) {
        mReclaimableWanted = wanted;
    }

    int reclaimableGoal() {
        final int onDemand = Math.max(mOnDemandNow, mOnDemandGoal);
        return Math.min(mReclaimableWanted, Math.max(mMost - onDemand, 0));
    }

    /** Notes whether the platform had reclaimable endpoints when they were ordered last. */
    void reclaimableAnswered(final boolean taken) {
        mOutOfStock = !taken;
    }

    /** Counts reclaimable endpoints that serve or are on their way. */
    int reclaimableExpected() {
        return mOutOfStock ? mReclaimableNow : Math.max(mReclaimableNow, reclaimableGoal());
    }

    /** Counts endpoints that serve or are on their way. */
    int expected() {
        return Math.max(mOnDemandNow, mOnDemandGoal) + reclaimableExpected();
    }

    boolean hasRoom() {
        return mOnDemandGoal + mReclaimableNow < mMost;
    }

    /** Tells whether an endpoint on demand can go without leaving fewer than the least here. */
    boolean mayGiveUpOnDemand(final int least) {
        return mOnDemandGoal > 0 && mOnDemandGoal + mReclaimableNow > least;
    }

    void addOnDemand() {
        mOnDemandGoal++;
    }

    void removeOnDemand() {
        mOnDemandGoal--;
    }
}
