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

    private static final int BLOCKS_PER_LEVEL = 4;
    private static final int REFRESH_PERIOD_SENDS = 8;

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

    void addHolder(final Long prefix, final EndpointState state) {
        final Holders holders = mHolders.get(prefix);
        if (holders == null) {
            mHolders.put(prefix, new Holders(state));
        } else {
            holders.add(state);
        }
    }

    void removeHolder(final Long prefix, final EndpointState state) {
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
    void recordSend(final List<Long> prefixes, final EndpointState state) {
        mSends++;
        final boolean isRefresh = mSends % REFRESH_PERIOD_SENDS == 0;
        for (int mark = levels(prefixes); mark > 0; mark--) {
            final Long prefix = prefixes.get(blocks(prefixes, mark) - 1);
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
        return mHolders.get(prefixes.get(blocks(prefixes, mark) - 1));
    }

    /** Returns how many of a prompt's prefixes are looked at: each fourth and the whole. */
    static int levels(final List<Long> prefixes) {
        return (prefixes.size() + BLOCKS_PER_LEVEL - 1) / BLOCKS_PER_LEVEL;
    }

    /** Returns the share of a prompt that its prefix up to a mark is. */
    static double promptShare(final List<Long> prefixes, final int mark) {
        return (double) blocks(prefixes, mark) / prefixes.size();
    }

    private static int blocks(final List<Long> prefixes, final int mark) {
        return Math.min(mark * BLOCKS_PER_LEVEL, prefixes.size());
    }

    /** The few endpoints that held a prefix most lately. */
    static final class Holders {
        private static final int MAX_HOLDERS = 3;

        private final EndpointState[] mStates = new EndpointState[MAX_HOLDERS];

        private Holders(final EndpointState first) {
            mStates[0] = first;
        }

        EndpointState get(final int index) {
            return mStates[index];
        }

        int capacity() {
            return MAX_HOLDERS;
        }

        private boolean contains(final EndpointState state) {
            boolean found = false;
            for (int i = 0; i < MAX_HOLDERS; i++) {
                found |= mStates[i] == state;
            }
            return found;
        }

        private void add(final EndpointState state) {
            int at = 0;
            while (at < MAX_HOLDERS - 1 && mStates[at] != state) {
                at++;
            }
            for (; at > 0; at--) {
                mStates[at] = mStates[at - 1];
            }
            mStates[0] = state;
        }

        private boolean remove(final EndpointState state) {
            boolean empty = true;
            for (int i = 0; i < MAX_HOLDERS; i++) {
                if (mStates[i] == state) {
                    mStates[i] = null;
                }
                empty &= mStates[i] == null;
            }
            return empty;
        }
    }
}
