package org.whinhead.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An LRU index of the endpoints that probably cache a prompt prefix, updated by this daemon's sends
 * and by cache events.
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
     * Records that an endpoint will hold a prompt's prefixes.
     *
     * <p>Starts with the longest prefix and stops at the first one the endpoint is known to hold,
     * since it holds the shorter ones too. Each eighth send continues, so that the index does not
     * evict short prefixes shared by many prompts as unused.
     */
    void recordSend(final List<Long> prefixes, final EndpointState state) {
        mSends++;
        final boolean isRefresh = mSends % REFRESH_PERIOD_SENDS == 0;
        for (int level = levels(prefixes); level > 0; level--) {
            final Long prefix = prefixes.get(blocks(prefixes, level) - 1);
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

    /** Returns the holders of a prompt's prefix up to a level, or null. */
    Holders holders(final List<Long> prefixes, final int level) {
        return mHolders.get(prefixes.get(blocks(prefixes, level) - 1));
    }

    /** Returns the number of indexed prefixes of a prompt: each fourth and the whole. */
    static int levels(final List<Long> prefixes) {
        return (prefixes.size() + BLOCKS_PER_LEVEL - 1) / BLOCKS_PER_LEVEL;
    }

    /** Returns the share of a prompt covered by its prefix up to a level, 0 to 1. */
    static double promptShare(final List<Long> prefixes, final int level) {
        return (double) blocks(prefixes, level) / prefixes.size();
    }

    private static int blocks(final List<Long> prefixes, final int level) {
        return Math.min(level * BLOCKS_PER_LEVEL, prefixes.size());
    }

    /** The endpoints that were most recently known to hold a prefix. */
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
