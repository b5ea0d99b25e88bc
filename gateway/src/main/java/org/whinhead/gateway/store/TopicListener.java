package org.whinhead.gateway.store;

import java.util.List;

/** Hears what a follower reads; always on the event loop. */
public interface TopicListener {

    /**
     * All newest records were read.
     *
     * @param records one record a key
     * @param end the topic's end
     */
    void onSnapshot(List<StoreRecord> records, long end);

    /**
     * New records were read.
     *
     * @param records the records in order; none if nothing was appended
     */
    void onAppended(List<StoreRecord> records);

    /**
     * The store did not answer.
     *
     * @param cause why
     */
    void onUnreachable(Throwable cause);
}
