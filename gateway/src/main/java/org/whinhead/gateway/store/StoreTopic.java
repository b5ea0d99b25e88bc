package org.whinhead.gateway.store;

/** Topics of the store, which keeps the newest record of each key. */
public enum StoreTopic {
    /** The operator's configuration: few keys, so the newest records cost as much as new ones. */
    CONFIGURATION {
        @Override
        boolean isResumedWithNewest() {
            return true;
        }
    },
    /** Entries that endpoints write about themselves. */
    ENDPOINTS,
    /** Addresses that daemons announce. */
    MEMBERS,
    /** The lease, with the usage decisions of its holders. */
    DUTIES,
    /** The table of the daemons that hold the shares of the customers' quotas. */
    SHARES,
    /** The states of rollouts, for the next lease holder. */
    ROLLOUTS,
    /** The states of rollouts, for operators. */
    STATUS;

    /**
     * Returns whether a follower that others read for reads the newest records of all keys, rather
     * than those after its position, when it reads itself again.
     */
    boolean isResumedWithNewest() {
        return false;
    }
}
