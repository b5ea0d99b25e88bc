package org.whinhead.serving.capacity;

import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The endpoints of one service in one failure domain, as they are and as they should be. */
final class DomainCapacity {

    private final String mDomain;
    private final int mMost;
    private int mOnDemandNow;
    private int mReclaimableNow;
    private int mOnDemandGoal = -1;

    DomainCapacity(final String domain, final int most) {
        mDomain = domain;
        mMost = most;
    }

    void listed(final Collection<EndpointEntry> endpoints) {
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
        if (mOnDemandGoal < 0) {
            mOnDemandGoal = mOnDemandNow;
        }
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

    /** Counts endpoints that serve or are on their way. */
    int expected() {
        return Math.max(mOnDemandNow, mOnDemandGoal) + mReclaimableNow;
    }

    boolean hasRoom() {
        return mOnDemandGoal + mReclaimableNow < mMost;
    }

    void addOnDemand() {
        mOnDemandGoal++;
    }

    void removeOnDemand() {
        mOnDemandGoal--;
    }

    int reclaimableGoal(final int wanted) {
        return Math.min(wanted, Math.max(mMost - Math.max(mOnDemandNow, mOnDemandGoal), 0));
    }
}
