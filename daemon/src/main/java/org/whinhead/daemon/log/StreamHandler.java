package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.List;
import org.whinhead.state.record.LogEntry;

/** Told what was read from one stream; on the duty's thread. */
interface StreamHandler {

    /**
     * Records were read, in order.
     *
     * @param entries the records; perhaps none
     * @param atHead whether they reach to the head of the stream
     * @param now the time
     */
    void onRecords(List<LogEntry> entries, boolean atHead, Instant now);

    /**
     * The records at the position have expired.
     *
     * @param oldest the oldest offset that is left
     * @param now the time
     */
    void onExpired(long oldest, Instant now);
}
