package org.whinhead.gateway.store;

import java.util.List;

/** Receives the records of a follower on the event loop. */
public interface TopicListener {

    /**
     * Handles the newest record of each key.
     *
     * @param records one record per key
     * @param end the topic's end
     */
    void onSnapshot(List<StoreRecord> records, long end);

    /**
     * Handles a store that has returned from an older copy; called before its first snapshot.
     *
     * @param end the topic's end in that copy, with what was written since
     */
    default void onOlderCopy(final long end) {
        // Records with a version of their own need no more.
    }

    /**
     * Handles newly read records.
     *
     * @param records the records in order; empty if nothing was appended
     */
    void onAppended(List<StoreRecord> records);

    /**
     * Handles a failed read.
     *
     * @param cause the cause of the failure
     */
    void onUnreachable(Throwable cause);
}
