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

    private final Map<Long, Holders> mHolders;

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

    void sent(final List<Long> prefixes, final EndpointState state) {
        for (int i = 0; i < prefixes.size(); i++) {
            stored(prefixes.get(i), state);
        }
    }

    Holders holders(final Long prefix) {
        return mHolders.get(prefix);
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
