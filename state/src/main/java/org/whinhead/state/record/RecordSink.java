package org.whinhead.state.record;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;

/** Takes records that are to be appended to one stream. */
public interface RecordSink {

    /**
     * Gives a record its identity and queues it.
     *
     * @param record makes the record for the identity it gets
     * @param now the time
     * @return the identity, or empty if the queue is full and nothing will be written
     */
    Optional<RecordId> offer(Function<RecordId, LogRecord> record, Instant now);

    /** Tells whether a record that is offered now would be sent at once. */
    boolean isIdle();
}
