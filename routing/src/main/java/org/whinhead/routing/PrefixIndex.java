package org.whinhead.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which endpoints probably hold which prompt prefixes, learnt from own sends and from cache events;
 * bounded, the prefix unused for longest is forgotten first.
 */
final class PrefixIndex {

    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 1024;

    private static final int MARK_BLOCKS = 4;
    private static final int REFRESH_PERIOD = 8;

    private final Map<Long, Holders> mHolders;
    private long mSends;

    PrefixIndex(final int capacity) {
        mHolders =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(final Map.Entry<Long, Holders> eldest) {
                        return size() > capacity;
                    }
                };
    }

    void stored(final Long prefix, final EndpointState state) {
        final Holders holders = mHolders.get(prefix);
        if (holders == null) {
            mHolders.put(prefix, new Holders(state));
        } else {
            holders.add(state);
        }
    }

    void evicted(final Long prefix, final EndpointState state) {
        final Holders holders = mHolders.get(prefix);
        if (holders != null && holders.remove(state)) {
            mHolders.remove(prefix);
        }
    }

    /**
     * Notes that an endpoint will hold a prompt's prefixes.
     *
     * <p>Begins with the longest and stops at the first that the endpoint is known to hold, since
     * it then holds the shorter ones too; now and then it goes on, so that short prefixes which
     * many prompts share are not forgotten as unused.
     */
    void sent(final List<Long> prefixes, final EndpointState state) {
        mSends++;
        final boolean isRefresh = mSends % REFRESH_PERIOD == 0;
        for (int mark = marks(prefixes); mark > 0; mark--) {
            final Long prefix = prefixes.get(depth(prefixes, mark) - 1);
            final Holders holders = mHolders.get(prefix);
            if (holders == null) {
                mHolders.put(prefix, new Holders(state));
            } else if (isRefresh || !holders.contains(state)) {
                holders.add(state);
            } else {
                return;
            }
        }
    }

    /** Returns who holds a prompt's prefix up to a mark, or null. */
    Holders holders(final List<Long> prefixes, final int mark) {
        return mHolders.get(prefixes.get(depth(prefixes, mark) - 1));
    }

    /** Returns how many of a prompt's prefixes are looked at: each fourth and the whole. */
    static int marks(final List<Long> prefixes) {
        return (prefixes.size() + MARK_BLOCKS - 1) / MARK_BLOCKS;
    }

    /** Returns the share of a prompt that its prefix up to a mark is. */
    static double share(final List<Long> prefixes, final int mark) {
        return (double) depth(prefixes, mark) / prefixes.size();
    }

    private static int depth(final List<Long> prefixes, final int mark) {
        return Math.min(mark * MARK_BLOCKS, prefixes.size());
    }

    /** The few endpoints that held a prefix most lately. */
    static final class Holders {
        private static final int MOST = 3;

        private final EndpointState[] mStates = new EndpointState[MOST];

        private Holders(final EndpointState first) {
            mStates[0] = first;
        }

        EndpointState get(final int index) {
            return mStates[index];
        }

        int most() {
            return MOST;
        }

        private boolean contains(final EndpointState state) {
            boolean found = false;
            for (int i = 0; i < MOST; i++) {
                found |= mStates[i] == state;
            }
            return found;
        }

        private void add(final EndpointState state) {
            int at = 0;
            while (at < MOST - 1 && mStates[at] != state) {
                at++;
            }
            for (; at > 0; at--) {
                mStates[at] = mStates[at - 1];
            }
            mStates[0] = state;
        }

        private boolean remove(final EndpointState state) {
            boolean empty = true;
            for (int i = 0; i < MOST; i++) {
                if (mStates[i] == state) {
                    mStates[i] = null;
                }
                empty &= mStates[i] == null;
            }
            return empty;
        }
    }
}
