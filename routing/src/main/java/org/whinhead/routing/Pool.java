package org.whinhead.routing;

import java.util.List;

/** The endpoints that serve one model or plain service and accept new work, as plain arrays. */
final class Pool {

    private final EndpointState[] mMembers;
    private final long[] mHashes;
    private long mTotalLoad;

    Pool(final List<EndpointState> members) {
        mMembers = members.toArray(new EndpointState[0]);
        mHashes = new long[mMembers.length];
        for (int i = 0; i < mMembers.length; i++) {
            mHashes[i] = mMembers[i].hash();
            mTotalLoad += mMembers[i].load().requests();
            mMembers[i].joinPool(this);
        }
    }

    int size() {
        return mMembers.length;
    }

    EndpointState get(final int index) {
        return mMembers[index];
    }

    void addLoad(final int delta) {
        mTotalLoad += delta;
    }

    /** Returns the mean estimate of a member, with the request to place counted in. */
    double meanLoad() {
        return (mTotalLoad + 1.0) / Math.max(1, mMembers.length);
    }

    /** Fills an array with the indexes of the members of highest rendezvous score for a key. */
    int highest(final long key, final int[] into, final long[] scores) {
        int size = 0;
        for (int i = 0; i < mHashes.length; i++) {
            final long score = Rendezvous.score(mHashes[i], key);
            if (size == into.length && score <= scores[size - 1]) {
                continue;
            }
            int at = size < into.length ? size++ : size - 1;
            while (at > 0 && scores[at - 1] < score) {
                scores[at] = scores[at - 1];
                into[at] = into[at - 1];
                at--;
            }
            scores[at] = score;
            into[at] = i;
        }
        return size;
    }
}
