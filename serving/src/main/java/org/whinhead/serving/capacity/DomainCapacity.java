package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The endpoints of one service in one failure domain, as they are and as they should be. */
final class DomainCapacity {

    /** How long after one reclaim another is expected; those of a wave came 2 to 6 s apart. */
    private static final Duration WAVE = Duration.ofSeconds(8);

    private final String mDomain;
    private final int mMost;
    private int mOnDemandNow;
    private int mReclaimableNow;
    private int mOnDemandGoal;
    private int mReclaimableWanted;
    private boolean mOutOfStock;
    private Instant mReclaimedAt = Instant.EPOCH;

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
        if (reclaimableBefore > 0 && mReclaimableNow == 0 && mReclaimableWanted > 0) {
            mReclaimedAt = now;
        }
        return mOnDemandNow < onDemandBefore || mReclaimableNow < reclaimableBefore;
    }

    /** Takes all endpoints on demand that are here as wanted, while the list still grows. */
    void keepOnDemand() {
        mOnDemandGoal = mOnDemandNow;
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
