package org.whinhead.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints that serve one model or plain service and accept new work. */
final class EndpointPool {

    private static final int MAX_OWNERS = 3;
    private static final int MAX_CACHED_KEYS = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final EndpointState[] mMembers;
    private final long[] mHashes;
    private final Map<Long, int[]> mOwners =
            new LinkedHashMap<>(64, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Long, int[]> eldest) {
                    return size() > MAX_CACHED_KEYS;
                }
            };
    private long mTotalLoad;

    EndpointPool(final List<EndpointState> members) {
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

    /** Returns the mean estimated load of a member, including the request to be routed. */
    double meanLoad() {
        return (mTotalLoad + 1.0) / Math.max(1, mMembers.length);
    }

    /**
     * Returns the indexes of the members with the highest rendezvous scores for a key, in
     * descending order. Recently used keys are cached, since the members of a pool never change.
     */
    int[] owners(final Long key) {
        int[] owners = mOwners.get(key);
        if (owners == null) {
            owners = highestScoring(key);
            mOwners.put(key, owners);
        }
        return owners;
    }

    private int[] highestScoring(final long key) {
        final int[] owners = new int[Math.min(MAX_OWNERS, mMembers.length)];
        final long[] scores = new long[owners.length];
        int size = 0;
        for (int i = 0; i < mHashes.length; i++) {
            final long score = RendezvousHash.score(mHashes[i], key);
            if (size == owners.length && score <= scores[size - 1]) {
                continue;
            }
            int at = size < owners.length ? size++ : size - 1;
            while (at > 0 && scores[at - 1] < score) {
                scores[at] = scores[at - 1];
                owners[at] = owners[at - 1];
                at--;
            }
            scores[at] = score;
            owners[at] = i;
        }
        return owners;
    }
}
