package org.whinhead.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Picks the endpoint with the least expected time to the first token among a few candidates: the
 * known holders of the longest cached prefix, the owners of the prompt's anchor (its first blocks)
 * by rendezvous hashing, and two at random.
 *
 * <p>Reuses its arrays to avoid allocations per choice.
 */
final class AffinityPicker implements Picker {

    private static final int MAX_HOLDERS = 4;
    private static final int ANCHOR_BLOCKS = 4;
    private static final int STEP_GROWTH_DIVISOR = 3;
    private static final double ASSUMED_CACHED_SHARE = 0.5;
    private static final double MIN_BOUND_SLOT_SHARE = 0.5;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final RoutingSettings.Costs mCosts;
    private final RandomGenerator mRandom;
    private final PrefixIndex mPrefixes;
    private final LowestCostPicker mFallback;
    private final EndpointState[] mHolders = new EndpointState[MAX_HOLDERS];
    private final double[] mCachedShares = new double[MAX_HOLDERS];
    private int mHolderCount;
    private EndpointState mBest;
    private double mBestCostMillis;

    AffinityPicker(
            final RoutingSettings.Costs costs,
            final RandomGenerator random,
            final PrefixIndex prefixes) {
        mCosts = costs;
        mRandom = random;
        mPrefixes = prefixes;
        mFallback = new LowestCostPicker(random::nextInt, state -> queueCostMillis(state));
    }

    @Override
    public EndpointState pick(final EndpointPool pool, final RouteQuery query) {
        mBest = null;
        mBestCostMillis = Double.POSITIVE_INFINITY;
        findHolders(query.spec().prefixHashes());
        for (int i = 0; i < mHolderCount; i++) {
            considerBelowLoadBound(mHolders[i], mCachedShares[i], pool, query);
        }
        considerOwners(pool, query);
        considerSamples(pool, query);
        return mBest != null ? mBest : mFallback.pick(pool, query);
    }

    /**
     * Finds the longest known prefix by binary search, since the prefixes of a known prefix are
     * known as well. Continues with shorter prefixes in growing steps, since their holders are
     * mostly the same.
     */
    private void findHolders(final List<Long> prefixes) {
        mHolderCount = 0;
        int low = 0;
        int high = PrefixIndex.levels(prefixes);
        while (low < high) {
            final int middle = (low + high + 1) / 2;
            final boolean isKnown = mPrefixes.holders(prefixes, middle) != null;
            low = isKnown ? middle : low;
            high = isKnown ? high : middle - 1;
        }
        for (int mark = low;
                mark > 0 && mHolderCount < MAX_HOLDERS;
                mark -= 1 + mark / STEP_GROWTH_DIVISOR) {
            final PrefixIndex.Holders holders = mPrefixes.holders(prefixes, mark);
            if (holders != null) {
                addHolders(holders, PrefixIndex.promptShare(prefixes, mark));
            }
        }
    }

    private void addHolders(final PrefixIndex.Holders holders, final double share) {
        for (int i = 0; i < holders.capacity() && mHolderCount < MAX_HOLDERS; i++) {
            final EndpointState state = holders.get(i);
            if (state != null && cachedShare(state) == 0) {
                mHolders[mHolderCount] = state;
                mCachedShares[mHolderCount] = share;
                mHolderCount++;
            }
        }
    }

    /** Considers two random endpoints, so that daemons with the same stale report spread out. */
    private void considerSamples(final EndpointPool pool, final RouteQuery query) {
        final int size = pool.size();
        final int first = mRandom.nextInt(size);
        considerBelowLoadBound(pool.get(first), cachedShare(pool.get(first)), pool, query);
        if (size > 1) {
            final int second = (first + 1 + mRandom.nextInt(size - 1)) % size;
            considerBelowLoadBound(pool.get(second), cachedShare(pool.get(second)), pool, query);
        }
    }

    private double cachedShare(final EndpointState state) {
        for (int i = 0; i < mHolderCount; i++) {
            if (mHolders[i] == state) {
                return mCachedShares[i];
            }
        }
        return 0;
    }

    /**
     * Considers the owners of the anchor. The first owner probably caches what other daemons sent
     * under the same anchor, so a share of the prompt is assumed to be cached there.
     */
    private void considerOwners(final EndpointPool pool, final RouteQuery query) {
        final List<Long> prefixes = query.spec().prefixHashes();
        if (prefixes.isEmpty()) {
            return;
        }
        final Long anchor = prefixes.get(Math.min(ANCHOR_BLOCKS, prefixes.size()) - 1);
        final int[] owners = pool.owners(anchor);
        for (int rank = 0; rank < owners.length; rank++) {
            final EndpointState owner = pool.get(owners[rank]);
            final double known = cachedShare(owner);
            final double assumed = ASSUMED_CACHED_SHARE / (rank + 1);
            considerBelowLoadBound(owner, Math.max(known, assumed), pool, query);
        }
    }

    /**
     * Considers an endpoint if its load is below a multiple of the pool's mean load, or half its
     * slots if that is more. Otherwise a hot prefix would overload its owner while others idle.
     */
    private void considerBelowLoadBound(
            final EndpointState state,
            final double share,
            final EndpointPool pool,
            final RouteQuery query) {
        final double bound =
                Math.max(
                        mCosts.loadFactor() * pool.meanLoad(),
                        MIN_BOUND_SLOT_SHARE * state.endpoint().slots());
        if (state.load().requests() < bound) {
            consider(state, share, query);
        }
    }

    private void consider(final EndpointState state, final double share, final RouteQuery query) {
        final double uncached = (1 - share) * query.spec().promptTokens();
        final double cost =
                queueCostMillis(state)
                        + uncached * mCosts.prefillMicrosPerToken() / MICROS_PER_MILLI;
        if (cost < mBestCostMillis && query.allows(state)) {
            mBest = state;
            mBestCostMillis = cost;
        }
    }

    private double queueCostMillis(final EndpointState state) {
        final int slots = state.endpoint().slots();
        final int requests = state.load().requests();
        final double batch = mCosts.fullBatchMillis() * Math.min(requests, slots) / slots;
        return batch
                + mCosts.queuedMillis() * Math.max(0, requests - slots + 1)
                + state.locationCostMillis();
    }
}
