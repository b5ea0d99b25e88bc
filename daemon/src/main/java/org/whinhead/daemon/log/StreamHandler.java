package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.List;
import org.whinhead.state.record.LogEntry;

/** Receives the records read from one stream; on the log thread. */
interface StreamHandler {

    /**
     * Handles records in the order of the stream.
     *
     * @param entries the records; may be empty
     * @param atHead whether the read reached the head of the stream
     * @param now the current time
     */
    void onRecords(List<LogEntry> entries, boolean atHead, Instant now);

    /**
     * Handles the expiry of the records at the reader's position.
     *
     * @param oldest the oldest offset that the log still holds
     * @param now the current time
     */
    void onExpired(long oldest, Instant now);
}
