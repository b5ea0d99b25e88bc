package org.whinhead.state.record;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A record at its offset in a stream.
 *
 * @param offset the record's offset in the stream
 * @param at the time at which the log accepted the record, by the log's clock
 * @param record the record
 */
public record LogEntry(long offset, Instant at, LogRecord record) {

    /** Checks every part. */
    public LogEntry {
        Arguments.requireAtLeast(offset, 0, "offset");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(record, "record");
    }
}
