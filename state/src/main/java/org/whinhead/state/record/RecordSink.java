package org.whinhead.state.record;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;

/** A queue of records to append to one stream. */
public interface RecordSink {

    /**
     * Assigns a record its identity and queues it.
     *
     * @param record the function that creates the record from its identity
     * @param now the time
     * @return the identity, or empty if the queue is full and the record is not written
     */
    Optional<RecordId> offer(Function<RecordId, LogRecord> record, Instant now);

    /** Returns whether no record is queued, in flight or of unknown outcome. */
    boolean isIdle();
}
